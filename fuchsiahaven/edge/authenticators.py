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
AUTH_SCHEME: Final = 'bearer'
#: Parts the fields of a request that shows more than one.
FIELD_SEPARATOR: Final = '\n'


class CustomerTable(NamedTuple):
    """Hold what one configuration says of customers, by digests of keys."""

    stamp: patches.Stamp
    customers: tuple[customers.Customer, ...]
    by_key_digest: Mapping[str, customers.Customer]
    public_classes: frozenset[str]


class Authenticator:
    """Own the table in force; any thread may call this."""

    def __init__(self, key_freshness: freshness.Freshness) -> None:
        """Start without a configuration, and with nothing proved."""
        self.freshness = key_freshness
        self._table: CustomerTable | None = None

    def update_configuration(
        self, stamped: patches.StampedConfiguration
    ) -> None:
        """Take in the configuration in force.

        This comes before the dispatch is told, which refuses until then.
        """
        configuration = stamped.configuration
        known_customers = configuration.customers
        self.freshness.record_customers(has_customers=bool(known_customers))
        self._table = CustomerTable(
            stamped.stamp,
            known_customers,
            customers.index_by_key(known_customers),
            frozenset(it.name for it in configuration.classes if it.public),
        )

    def read_clock(self) -> float:
        """Return the time of a call that proves something, if any does."""
        if self.freshness.is_enforced:
            return self.freshness.read_clock()
        return revision_messages.UNKNOWN_TIME

    def record_read(self, stamp: patches.Stamp, sent_at: float) -> None:
        """Take in that the platform, asked then, held what has this stamp."""
        if self._find_stamp() == stamp:
            self.freshness.record_read(sent_at, freshness.NO_ERA)

    def record_proof(
        self, sent_at: float, answer: proof_exchange.ProofAnswer
    ) -> bool:
        """Take in what another host proved to a question that left then.

        False where it has another configuration, or proves nothing newer.
        """
        if self._find_stamp() != patches.Stamp(answer.revision, answer.digest):
            return False
        previous = self.freshness.confirmed_at
        self.freshness.record_proof(sent_at, answer.proof, freshness.NO_ERA)
        return self.freshness.confirmed_at > previous

    def make_proof_answer(self) -> proof_exchange.ProofAnswer | None:
        """Say what is proved to who asks now; None if there is nothing."""
        proof = self.freshness.make_proof(self.freshness.read_clock())
        # Read before the proof, it could lack what the proof speaks of.
        stamp = self._find_stamp()
        if proof is None or stamp is None:
            return None
        return proof_exchange.ProofAnswer(proof, *stamp)

    def compute_wait(self) -> float:
        """Say for how long keys cannot be trusted here; 0 where they can."""
        return (
            self.freshness.compute_wait() if self.freshness.is_enforced else 0.0
        )

    def admit(
        self, query: messages.Query, credentials: authentication.Credentials
    ) -> messages.Query | errors.Failure:
        """Name the customer of a query, or say why it is refused.

        Where callers need no key it stays as it is. The dispatch refuses it if
        that has changed by then.
        """
        # The age comes first: the table may only be newer than it says.
        # It is asked for without customers too, since they may come just then.
        wait = self.freshness.compute_wait()
        table = self._table
        if table is None or not table.customers:
            return query
        is_public = query.class_name in table.public_classes
        result = authentication.authenticate(
            table.by_key_digest, credentials, wait, public=is_public
        )
        if isinstance(result, errors.Failure):
            return result
        if result is None:
            return query._replace(admitted=True)
        return query._replace(
            admitted=True, customer=result.name, priority=result.priority
        )

    def _find_stamp(self) -> patches.Stamp | None:
        table = self._table
        return None if table is None else table.stamp


def parse_authorization(header: str) -> authentication.Credentials:
    """Read what a caller shows as its key, empty where that is nothing."""
    fields = header.split(FIELD_SEPARATOR) if header else []
    return authentication.Credentials(
        keys.parse_key_digest(fields, AUTH_SCHEME), bool(header)
    )
