"""Run the stand-ins: `python -m standins platform|searchers`."""

import argparse
import asyncio

from standins import fleets, layouts, platform


def main() -> None:
    """Serve until the process is interrupted."""
    options = _parse_options()
    serve = _serve_platform if options.part == 'platform' else _serve_fleet
    try:
        asyncio.run(serve(options))
    except KeyboardInterrupt:
        print('stopped')


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser('standins', description=__doc__)
    commands = parser.add_subparsers(dest='part', required=True)
    platform_parser = commands.add_parser(
        'platform', help='the key-value service'
    )
    platform_parser.add_argument(
        '--port', type=int, required=True, action='append', dest='ports'
    )
    fleet_parser = commands.add_parser(
        'searchers', help='the targets of a deployment'
    )
    fleet_parser.add_argument('--share', type=int, default=0)
    fleet_parser.add_argument('--shares', type=int, default=1)
    for command in (platform_parser, fleet_parser):
        command.add_argument('--deployment', choices=tuple(layouts.SERVICES))
        command.add_argument('--first-port', type=int, default=21_000)
        command.add_argument('--data-centres', type=int, default=1)
    return parser.parse_args()


def _build_layout(options: argparse.Namespace) -> layouts.Layout:
    return layouts.build(
        options.deployment, options.first_port, options.data_centres
    )


async def _serve_platform(options: argparse.Namespace) -> None:
    store = platform.Platform()
    if options.deployment:
        layout = _build_layout(options)
        for key, text in layouts.encode_keys(layout.configuration).items():
            body = {'value': text, 'revision': 0}
            store.call('PUT', f'/v1/keys/{key}', body=body)
        store.set_host_list(layouts.list_hosts(layout))
    await platform.serve(store, options.ports)
    print('ready platform', *options.ports, flush=True)
    await asyncio.Event().wait()


async def _serve_fleet(options: argparse.Namespace) -> None:
    fleet = fleets.Fleet(_build_layout(options), options.share, options.shares)
    await fleet.start(options.first_port + options.share)
    print('ready searchers', len(fleet.searchers), flush=True)
    await asyncio.Event().wait()


main()
