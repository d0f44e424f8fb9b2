"""Let callers' requests in, by the customers of the configuration in force."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import patches, revision_messages
from fuchsiahaven.core.customers import (
    authentication,
    customers,
    freshness,
    keys,
    proof_exchange,
)
from fuchsiahaven.core.targets import messages

#: How callers show their keys, in any case.
SCHEME: Final = 'bearer'
#: Parts the fields of a request that shows more than one.
FIELD_END: Final = '\n'


class Table(NamedTuple):
    """Hold what one configuration says of customers, by digests of keys."""

    stamp: patches.Stamp
    known: tuple[customers.Customer, ...]
    holders: Mapping[str, customers.Customer]
    public: frozenset[str]


class Door:
    """Own the table in force; any thread may call this."""

    def __init__(self, known: freshness.Freshness) -> None:
        """Start without a configuration, and with nothing proved."""
        self.freshness = known
        self._table: Table | None = None

    def note(self, stamped: patches.StampedConfiguration) -> None:
        """Take in the configuration in force.

        This comes before the dispatch is told, which refuses until then.
        """
        configuration = stamped.configuration
        known = configuration.customers
        self.freshness.record_customers(has_customers=bool(known))
        self._table = Table(
            stamped.stamp,
            known,
            customers.index_by_key(known),
            frozenset(it.name for it in configuration.classes if it.public),
        )

    def read_clock(self) -> float:
        """Return the time of a call that proves something, if any does."""
        if self.freshness.is_enforced:
            return self.freshness.read_clock()
        return revision_messages.UNKNOWN_TIME

    def note_read(self, stamp: patches.Stamp, left: float) -> None:
        """Take in that the platform, asked then, held what has this stamp."""
        if self._find_stamp() == stamp:
            self.freshness.record_read(left, freshness.NO_ERA)

    def note_told(self, left: float, told: proof_exchange.ProofAnswer) -> bool:
        """Take in what another host proved to a question that left then.

        False where it has another configuration, or proves nothing newer.
        """
        if self._find_stamp() != patches.Stamp(told.revision, told.digest):
            return False
        before = self.freshness.confirmed_at
        self.freshness.record_proof(left, told.proof, freshness.NO_ERA)
        return self.freshness.confirmed_at > before

    def prove(self) -> proof_exchange.ProofAnswer | None:
        """Say what is proved to who asks now; None if there is nothing."""
        proof = self.freshness.make_proof(self.freshness.read_clock())
        # Read before the proof, it could lack what the proof speaks of.
        stamp = self._find_stamp()
        if proof is None or stamp is None:
            return None
        return proof_exchange.ProofAnswer(proof, *stamp)

    def find_wait(self) -> float:
        """Say for how long keys cannot be trusted here; 0 where they can."""
        return (
            self.freshness.compute_wait() if self.freshness.is_enforced else 0.0
        )

    def admit(
        self, query: messages.Query, shown: authentication.Credentials
    ) -> messages.Query | errors.Failure:
        """Name the customer of a query, or say why it is refused.

        Where callers need no key it stays as it is. The dispatch refuses it if
        that has changed by then.
        """
        # The age comes first: the table may only be newer than it says.
        # It is asked for without customers too, since they may come just then.
        wait = self.freshness.compute_wait()
        table = self._table
        if table is None or not table.known:
            return query
        public = query.class_name in table.public
        found = authentication.authenticate(
            table.holders, shown, wait, public=public
        )
        if isinstance(found, errors.Failure):
            return found
        if found is None:
            return query._replace(admitted=True)
        return query._replace(
            admitted=True, customer=found.name, priority=found.priority
        )

    def _find_stamp(self) -> patches.Stamp | None:
        table = self._table
        return None if table is None else table.stamp


def read_shown(told: str) -> authentication.Credentials:
    """Read what a caller shows as its key, empty where that is nothing."""
    fields = told.split(FIELD_END) if told else []
    return authentication.Credentials(
        keys.parse_key_digest(fields, SCHEME), bool(told)
    )
