"""Name the header fields of the platform."""

from typing import Final

REQUEST_ID: Final = 'fuchsiahaven-request-id'
#: How many milliseconds whoever asks will wait.
DEADLINE_MS: Final = 'fuchsiahaven-deadline-ms'
#: The identity of the one process that may run a request.
INSTANCE: Final = 'fuchsiahaven-target-instance'
#: What a target puts on each answer; a caller checks it.
SIGNATURE: Final = 'fuchsiahaven-response-signature'
#: A target's word that it has not run a request and never will.
NOT_RUN: Final = 'fuchsiahaven-not-executed'
#: Requests running, waiting, and slots; further figures may follow.
LOAD: Final = 'fuchsiahaven-server-load'
#: The signatures of the parts that an answer holds.
PART_SIGNATURES: Final = 'fuchsiahaven-part-signatures'
#: How many shards an answer lacks.
MISSING_PARTS: Final = 'fuchsiahaven-missing-parts'
#: The key of a customer, where callers have to show one.
AUTHORIZATION: Final = 'authorization'
#: The name of the customer whose request it is.
CUSTOMER: Final = 'fuchsiahaven-tenant'
RETRY_AFTER: Final = 'retry-after'
#: Rises each time the store comes back from an older copy of itself.
STORE_ERA: Final = 'store-era'
