"""Name the header fields of the platform."""

from typing import Final

REQUEST_ID: Final = 'fuchsiahaven-request-id'
#: Milliseconds that the sender will wait for the answer.
DEADLINE_MS: Final = 'fuchsiahaven-deadline-ms'
#: The only target process that may run a request.
INSTANCE: Final = 'fuchsiahaven-target-instance'
#: The target's signature of an answer, which callers verify.
SIGNATURE: Final = 'fuchsiahaven-response-signature'
#: States that the target has not run the request and never will.
NOT_RUN: Final = 'fuchsiahaven-not-executed'
#: Requests in flight, requests queued and slots; more values may follow.
LOAD: Final = 'fuchsiahaven-server-load'
#: The signatures of the parts of which an answer is merged.
PART_SIGNATURES: Final = 'fuchsiahaven-part-signatures'
#: The number of shards that an answer does not cover.
MISSING_PARTS: Final = 'fuchsiahaven-missing-parts'
#: The customer's key, where callers need one.
AUTHORIZATION: Final = 'authorization'
#: The name of the customer that sent the request.
CUSTOMER: Final = 'fuchsiahaven-tenant'
RETRY_AFTER: Final = 'retry-after'
#: The store's era, which rises each time an older copy is restored.
STORE_ERA: Final = 'store-era'
