"""Names of the platform's headers, calls, keys and fields."""

from typing import Final

# Headers, in lower case as the parser gives them.
REQUEST_ID: Final = b'x-request-id'
DEADLINE_MS: Final = b'x-deadline-ms'
PROMPT_PREFIX: Final = b'x-prompt-prefix'
TOKEN_COUNTS: Final = b'x-token-counts'
LAST_EVENT_ID: Final = b'last-event-id'
#: Proof that an answer is an upstream's; not a cryptographic signature to us.
SIGNATURE: Final = b'x-response-signature'
#: Names an upstream, not an instance of the system.
TARGET_INSTANCE: Final = b'x-target-instance'
INSTANCE_ID: Final = b'x-instance-id'
LOAD: Final = b'x-server-load'
NOT_EXECUTED: Final = b'x-not-executed'
#: Time for which an upstream stays cold; not that for which it was.
WARMUP_MS: Final = b'x-warmup-ms'
PRIORITY: Final = b'x-request-priority'
#: Address from which an engine copies the memory of a prompt.
FETCH_FROM: Final = b'kv-fetch'
RETRY_AFTER: Final = b'retry-after'
CONTENT_ENCODING: Final = b'content-encoding'
HOST: Final = b'host'
CONNECTION: Final = b'connection'

#: Headers that concern one connection only, or its framing.
OF_ONE_CONNECTION: Final = frozenset(
    (
        CONNECTION,
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Headers that only the system sets on requests to upstreams.
OF_THE_SYSTEM: Final = frozenset(
    (
        DEADLINE_MS,
        LAST_EVENT_ID,
        TARGET_INSTANCE,
        PRIORITY,
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        FETCH_FROM,
    )
)

# Calls.
READY_PATH: Final = b'/-/ready'
RESOLVE_PATH: Final = b'/-/resolve'
RANGE_PATH: Final = '/-/kv-range'
WATCH_PATH: Final = '/-/kv-watch'

# Keys of the store.
CONFIGURATION_KEY: Final = 'op/config'
EVACUATION_PREFIX: Final = 'op/evacuate/'
UPSTREAM_PREFIX: Final = 'servers/'

# Words.
STATE_READY: Final = 'ready'
STATE_LEAVING: Final = 'draining'
