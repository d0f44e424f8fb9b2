"""Run the stand-ins: `python -m standins platform|searchers`."""

import argparse
import asyncio

from standins import fleets, layouts, platform


def main() -> None:
    """Serve until the process is ended."""
    options = _parse()
    serve = _serve_platform if options.part == 'platform' else _serve_fleet
    try:
        asyncio.run(serve(options))
    except KeyboardInterrupt:
        print('stopped')


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser('standins', description=__doc__)
    parts = parser.add_subparsers(dest='part', required=True)
    keys = parts.add_parser('platform', help='the key-value service')
    keys.add_argument(
        '--port', type=int, required=True, action='append', dest='ports'
    )
    fleet = parts.add_parser('searchers', help='the targets of a deployment')
    fleet.add_argument('--share', type=int, default=0)
    fleet.add_argument('--shares', type=int, default=1)
    for part in (keys, fleet):
        part.add_argument('--deployment', choices=tuple(layouts.SERVICES))
        part.add_argument('--first-port', type=int, default=21_000)
        part.add_argument('--data-centres', type=int, default=1)
    return parser.parse_args()


def _build(options: argparse.Namespace) -> layouts.Layout:
    return layouts.build(
        options.deployment, options.first_port, options.data_centres
    )


async def _serve_platform(options: argparse.Namespace) -> None:
    store = platform.Platform()
    if options.deployment:
        layout = _build(options)
        for key, text in layouts.write_keys(layout.configuration).items():
            body = {'value': text, 'revision': 0}
            store.call('PUT', f'/v1/keys/{key}', body=body)
        store.list_hosts(layouts.list_hosts(layout))
    await platform.serve(store, options.ports)
    print('ready platform', *options.ports, flush=True)
    await asyncio.Event().wait()


async def _serve_fleet(options: argparse.Namespace) -> None:
    fleet = fleets.Fleet(_build(options), options.share, options.shares)
    await fleet.start(options.first_port + options.share)
    print('ready searchers', len(fleet.searchers), flush=True)
    await asyncio.Event().wait()


main()
