"""Authenticate callers against the customers of the configuration."""

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

#: Authorization scheme of keys, compared without regard to case.
AUTH_SCHEME: Final = 'bearer'
#: Separates the Authorization fields of a request that has several.
FIELD_SEPARATOR: Final = '\n'


class CustomerTable(NamedTuple):
    """Hold the customers of a configuration, by the digests of keys."""

    stamp: patches.Stamp
    customers: tuple[customers.Customer, ...]
    by_key_digest: Mapping[str, customers.Customer]
    public_classes: frozenset[str]


class Authenticator:
    """Own the customers in force; any thread may call this."""

    def __init__(self, key_freshness: freshness.Freshness) -> None:
        """Start without a configuration or a proof of its age."""
        self.freshness = key_freshness
        self._table: CustomerTable | None = None

    def update_configuration(
        self, stamped: patches.StampedConfiguration
    ) -> None:
        """Update the customers to the configuration in force.

        This happens before the dispatch loop receives the configuration; the
        loop refuses requests until then.
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
        """Return the clock for a proof; UNKNOWN_TIME if none is needed."""
        if self.freshness.is_enforced:
            return self.freshness.read_clock()
        return revision_messages.UNKNOWN_TIME

    def record_read(self, stamp: patches.Stamp, sent_at: float) -> None:
        """Record that the platform held this stamp at `sent_at` or later."""
        if self._find_stamp() == stamp:
            self.freshness.record_read(sent_at, freshness.NO_ERA)

    def record_proof(
        self, sent_at: float, answer: proof_exchange.ProofAnswer
    ) -> bool:
        """Record another host's proof, requested at `sent_at`.

        Return False if it has another configuration or proves nothing newer.
        """
        if self._find_stamp() != patches.Stamp(answer.revision, answer.digest):
            return False
        previous = self.freshness.confirmed_at
        self.freshness.record_proof(sent_at, answer.proof, freshness.NO_ERA)
        return self.freshness.confirmed_at > previous

    def make_proof_answer(self) -> proof_exchange.ProofAnswer | None:
        """Make the proof for a host that requests it now; None without."""
        proof = self.freshness.make_proof(self.freshness.read_clock())
        # A stamp read before the proof could be older than the proof.
        stamp = self._find_stamp()
        if proof is None or stamp is None:
            return None
        return proof_exchange.ProofAnswer(proof, *stamp)

    def compute_wait(self) -> float:
        """Return the seconds until keys can be trusted; 0 if they can."""
        return (
            self.freshness.compute_wait() if self.freshness.is_enforced else 0.0
        )

    def admit(
        self, query: messages.Query, credentials: authentication.Credentials
    ) -> messages.Query | errors.Failure:
        """Return the query with its customer, or why it is refused.

        Without customers it is returned unchanged; the dispatch loop refuses
        it if that has changed by then.
        """
        # The age is read first: the table may only be newer than it implies.
        # It is read without customers too, as they may arrive in between.
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
    """Parse the Authorization fields; empty credentials if malformed."""
    fields = header.split(FIELD_SEPARATOR) if header else []
    return authentication.Credentials(
        keys.parse_key_digest(fields, AUTH_SCHEME), bool(header)
    )
