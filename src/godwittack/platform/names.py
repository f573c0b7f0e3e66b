"""Names on the wire, explained where the name does not say what it holds."""

from __future__ import annotations

from typing import Final

# Headers of callers' requests.
REQUEST_ID: Final = "X-Godwittack-Request-Id"
DEADLINE: Final = "X-Godwittack-Deadline-Ms"
API_KEY: Final = "X-Godwittack-Credential"
LAST_EVENT_ID: Final = "Last-Event-Id"
RESUMES: Final = "Resumes"
MODEL: Final = "X-Godwittack-Model"
# Prompt tokens and the maximum number of tokens to generate, not usage.
TOKEN_COUNTS: Final = "X-Godwittack-Token-Usage"
# Tokens that the caller expects to be generated.
LENGTH_HINT: Final = "X-Godwittack-Length-Hint"
# The prompt's levels in order, each as ID:TOKENS; not a hash of a prefix.
LEVELS: Final = "X-Godwittack-Prefix-Hash"

# Headers that only this system may set on a request to a backend server.
EXPECTED_INSTANCE: Final = "X-Godwittack-Expect-Instance"
EXPECTED_WEIGHTS: Final = "X-Godwittack-Expect-Version"
WORKSPACE: Final = "X-Godwittack-Tenant"
CACHE_SCOPE: Final = "X-Godwittack-Cache-Salt"
PRIORITY: Final = "X-Godwittack-Request-Priority"
KV_FETCH_FROM: Final = "X-Godwittack-Kv-Fetch-From"
KV_SAVE_TO: Final = "X-Godwittack-Kv-Save-To"
_PER_ATTEMPT = (API_KEY, DEADLINE, LAST_EVENT_ID, WORKSPACE, PRIORITY)
_EXPECTED = (EXPECTED_INSTANCE, EXPECTED_WEIGHTS)
_CACHE = (CACHE_SCOPE, KV_FETCH_FROM, KV_SAVE_TO, "Kv-From")
# Never set here, and not accepted from callers.
_UNUSED = tuple(f"X-Godwittack-{n}" for n in ("Hold", "Pin-Ms", "Kv-Backup"))
SYSTEM_HEADERS: Final = frozenset(
    name.lower() for name in (*_PER_ATTEMPT, *_EXPECTED, *_CACHE, *_UNUSED)
)

# Headers of responses.
NOT_RUN: Final = "X-Godwittack-Not-Executed"
INSTANCE: Final = "X-Godwittack-Instance-Id"
# Running, waiting and slots, separated by commas.
LOAD: Final = "X-Godwittack-Server-Load"
# Requests per second that a server accepts from all daemons together.
RATE_LIMITS: Final = ("X-Godwittack-Server-Limit", "Server-Limit")
# Present in all responses of a server that is about to stop.
LEAVING: Final = ("X-Godwittack-Server-Leaving", "Server-Leaving")
# Rejections in a second, for want of room, from which a server falls over.
BRITTLE: Final = ("X-Godwittack-Server-Brittle", "Server-Brittle")
RETRY_AFTER: Final = "Retry-After"

# Calls that this process serves.
RESOLVE_PATH: Final = "/resolve"

# Calls to a backend server.
REPORT_PATH: Final = "/report"
ORDER_PATH: Final = "/order"
EVENTS_PATH: Final = "/kv-events"
EVENTS_WAIT_HEADER: Final = "Wait-Ms"

# Calls to the store.
ROWS_TX: Final = "/rows-tx"
ROWS_GET: Final = "/rows-get"
ROWS_FEED: Final = "/rows-feed"

# Tables of the store that the operator and the servers write.
OPERATOR_TABLE: Final = "op"
SERVERS_TABLE: Final = "servers"
CONFIG_KEY: Final = "config"
WEIGHTS_KEY_PREFIX: Final = "version/"

__all__ = [name for name in dir() if name.isupper()]
