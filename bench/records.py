"""Compute the figures of a run from the records of its requests."""

import collections
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from hdrh import histogram

from standins import wire

MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
MAX_SEND_DELAY_MS: Final = 5.0
MAX_CORE_FRACTION: Final = 0.8
QUANTILES: Final = (50, 90, 99, 99.9)


class Record(NamedTuple):
    """Hold the result of one request; times are in seconds of one clock.

    `due` is when the request should have been sent, `sent` when it was. A
    failure has its kind, and `ran` states whether the request has run.
    """

    class_name: str
    request_id: str
    host: int
    due: float
    sent: float
    done: float
    deadline_s: float
    shards: int
    coverage: float = 0.0
    kind: str = ''
    ran: str = 'yes'
    fault: str = ''
    revision: int = 0

    @property
    def took(self) -> float:
        """Return the latency from when it was due, with any sending delay."""
        return self.done - self.due

    @property
    def good(self) -> bool:
        """Return whether a correct answer arrived in time."""
        in_time = self.took <= self.deadline_s
        return in_time and not self.kind and not self.fault


class Usage(NamedTuple):
    """Hold the usage of the processes, in seconds and MiB."""

    seconds: float
    tier_s: float
    bench_s: float
    standin_s: float
    memory_mib: float


def subtract(after: Usage, before: Usage) -> Usage:
    """Return the usage between two measurements."""
    used = Usage(*(a - b for a, b in zip(after, before, strict=True)))
    return used._replace(memory_mib=after.memory_mib)


class Figures(NamedTuple):
    """Hold the figures of one run; the JSON has the same names.

    Latency is in ms over answers, from when a request was due. Goodput is the
    fraction of offered requests with a correct answer in time; `coverage` is
    the mean covered fraction over all offered requests, `answer_coverage` over
    answers. `extra_load` is the sub-requests that searchers received beyond one
    per shard, as a fraction.

    `untrue_refusals` stated that the request had not run although searchers had
    run its id, perhaps for another request. `untrue_ids` have run although each
    request with the id was refused as not run. `doubtful_ids` have run and were
    refused as not run after an unknown outcome. `untrue_answers` are answers
    to requests that have not run. `limit` is not empty where the bench or a
    stand-in, rather than the tier, limits the figures.
    """

    policy: str
    offered: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    class_p99_ms: dict[str, float]
    goodput: float
    class_goodput: dict[str, float]
    coverage: float
    answer_coverage: float
    extra_load: float
    sub_requests: int
    refusals: dict[str, int]
    untrue_refusals: int
    untrue_ids: int
    doubtful_ids: int
    untrue_answers: int
    faults: dict[str, int]
    late_answers: int
    max_runs_per_id: int
    searcher_counts: dict[str, int]
    after_leaving_s: float
    cpu_us_per_sub_request: float
    tier_cores: float
    memory_mib: float
    reverts: int
    in_force_s: float
    sent_late_p99_ms: float
    bench_cores: float
    standin_cores: float
    limit: str


def summarise(
    policy: str,
    records: Sequence[Record],
    targets: wire.Json,
    usage: Usage,
    changes: Sequence[tuple[float, int]] = (),
) -> Figures:
    """Compute the figures of one run."""
    answered = [record for record in records if not record.kind]
    quantiles = _measure_ms(record.took for record in answered)
    sub_requests = targets['counts'].get('received', 0)
    # Repeated requests with the same id count once.
    shards_by_id = {
        record.request_id: record.shards
        for record in records
        if record.ran != 'no'
    }
    sent_late = _measure_ms(record.sent - record.due for record in records)
    bench_cores = usage.bench_s / usage.seconds
    standin_cores = usage.standin_s / usage.seconds
    return Figures(
        policy=policy,
        offered=len(records),
        p50_ms=quantiles[0],
        p90_ms=quantiles[1],
        p99_ms=quantiles[2],
        p999_ms=quantiles[3],
        class_p99_ms={
            name: _measure_ms(record.took for record in group)[2]
            for name, group in _group(answered).items()
        },
        goodput=_average(record.good for record in records),
        class_goodput={
            name: _average(record.good for record in group)
            for name, group in _group(records).items()
        },
        coverage=_average(record.coverage for record in records),
        answer_coverage=_average(record.coverage for record in answered),
        extra_load=round(
            sub_requests / max(sum(shards_by_id.values()), 1) - 1, 4
        ),
        sub_requests=sub_requests,
        refusals=_count(record.kind for record in records),
        untrue_refusals=sum(
            record.ran == 'no' and targets['runs'].get(record.request_id, 0) > 0
            for record in records
        ),
        untrue_ids=_count_ids(records, targets, _all_not_run),
        doubtful_ids=_count_ids(records, targets, _not_run_after_unknown),
        untrue_answers=sum(
            record.request_id not in targets['runs'] for record in answered
        ),
        faults=_count(record.fault for record in records),
        late_answers=sum(
            record.took > record.deadline_s for record in answered
        ),
        max_runs_per_id=max(targets['single_runs'].values(), default=0),
        searcher_counts=targets['counts'],
        after_leaving_s=max(targets['after_leaving_s'].values(), default=0.0),
        cpu_us_per_sub_request=round(
            usage.tier_s * 1e6 / max(sub_requests, 1), 1
        ),
        tier_cores=round(usage.tier_s / usage.seconds, 3),
        memory_mib=round(usage.memory_mib, 1),
        reverts=count_reverts(records),
        in_force_s=_measure_in_force(records, changes),
        sent_late_p99_ms=sent_late[2],
        bench_cores=round(bench_cores, 3),
        standin_cores=round(standin_cores, 3),
        limit=_describe_limit(sent_late[2], bench_cores, standin_cores),
    )


def compare(results: Sequence[Figures]) -> list[str]:
    """Return lines with the medians and ranges of each policy side by side."""
    by_policy: dict[str, list[Figures]] = {}
    for figures in results:
        by_policy.setdefault(figures.policy, []).append(figures)
    numeric = (
        name
        for name, kind in Figures.__annotations__.items()
        if kind in {int, float}
    )
    rows = [('', list(by_policy))]
    rows.extend(
        (name, [_format_spread(name, group) for group in by_policy.values()])
        for name in numeric
    )
    return [
        ''.join((f'{name:24}', *(f'{cell:>28}' for cell in cells)))
        for name, cells in rows
    ]


def count_reverts(records: Iterable[Record]) -> int:
    """Count answers with a lower revision than an earlier one of the host."""
    highest: dict[int, int] = {}
    events = sorted(
        (at, is_request, record.host, record.revision)
        for record in records
        if record.revision
        for at, is_request in ((record.sent, True), (record.done, False))
    )
    reverts = 0
    for _, is_request, host, revision in events:
        if is_request:
            reverts += revision < highest.get(host, 0)
        else:
            highest[host] = max(highest.get(host, 0), revision)
    return reverts


def _measure_in_force(
    records: Iterable[Record], changes: Sequence[tuple[float, int]]
) -> float:
    lags = [
        record.sent - changed_at
        for changed_at, revision in changes
        for record in records
        if record.sent > changed_at and 0 < record.revision < revision
    ]
    return round(max(lags, default=0.0), 3)


def _count_ids(
    records: Iterable[Record],
    targets: wire.Json,
    matches: Callable[[list[Record]], bool],
) -> int:
    by_id: dict[str, list[Record]] = {}
    for record in records:
        by_id.setdefault(record.request_id, []).append(record)
    return sum(
        matches(group) and targets['runs'].get(request_id, 0) > 0
        for request_id, group in by_id.items()
    )


def _all_not_run(group: list[Record]) -> bool:
    return all(record.ran == 'no' for record in group)


def _not_run_after_unknown(group: list[Record]) -> bool:
    unknown_at = [record.done for record in group if record.ran == 'unknown']
    return any(
        record.ran == 'no'
        and record.sent > min(unknown_at, default=record.sent)
        for record in group
    )


def _measure_ms(seconds: Iterable[float]) -> list[float]:
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for each in seconds:
        latencies.record_value(max(1, int(each * 1e6)))
    return [
        round(latencies.get_value_at_percentile(quantile) / 1000, 2)
        for quantile in QUANTILES
    ]


def _group(records: Iterable[Record]) -> dict[str, list[Record]]:
    groups: dict[str, list[Record]] = {}
    for record in records:
        groups.setdefault(record.class_name, []).append(record)
    return dict(sorted(groups.items()))


def _average(numbers: Iterable[float]) -> float:
    values = list(numbers)
    return round(statistics.fmean(values), 4) if values else 0.0


def _count(names: Iterable[str]) -> dict[str, int]:
    return dict(collections.Counter(name for name in names if name))


def _describe_limit(delay_ms: float, bench: float, standin: float) -> str:
    if delay_ms > MAX_SEND_DELAY_MS:
        return f'requests were sent late: p99 {delay_ms} ms'
    if bench > MAX_CORE_FRACTION:
        return f'the bench used {bench:.2f} of one core'
    if standin > MAX_CORE_FRACTION:
        return f'a stand-in used {standin:.2f} of one core'
    return ''


def _format_spread(name: str, results: Sequence[Figures]) -> str:
    numbers = [float(getattr(figures, name)) for figures in results]
    median = statistics.median(numbers)
    return f'{median:g} ({min(numbers):g}..{max(numbers):g})'
