"""Names of the platform's headers, fields and tables."""

# Headers, in lower case.
# Names one client attempt; a caller's own retry has another.
REQUEST_ID = b'attempt-id'
# Stands between the ids of a request and of a call that serves it.
ID_SEPARATOR = '.'
# Milliseconds that are left, not a moment.
DEADLINE = b'request-deadline'
# The target's signature; only answers that it has made carry it.
STAMP = b'response-stamp'
# Name of the client account, in place of its key.
ACCOUNT = b'tenant-id'
# The lifetime that alone may run the request.
TARGET_ID = b'target-instance'
# The lifetime that answers a health check.
ANSWERING_ID = b'instance-id'
# Its presence says that the target has not run the request.
NOT_RUN = b'not-executed'
# Calls a second that the target takes from all hosts together, with
# fractions; it holds for as long as the target's answers carry it.
RATE_LIMIT = b'server-limit'
# Milliseconds for which the target remains cold, in a health answer.
COLD_REMAINING = b'cold-remaining'
# Says with the value 1 that the target is leaving.
LEAVING = b'server-leaving'
# Requests that run and wait, slots, and optionally how long work takes on the
# host, in percent of what it usually takes.
LOAD = b'server-load'
# Rises by one whenever the store comes back from a copy.
STORE_ERA = b'store-era'
# Seconds, with fractions.
RETRY_AFTER = b'retry-after'
# Service beside which the request began.
CALLER_SERVICE = b'caller-service'
AUTHORIZATION = b'authorization'
BEARER = b'bearer '

# Tables and rows.
OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'
# The rest of the key is a zone that gets no calls while the row exists.
EVACUATION_PREFIX = 'evacuate/'

# Paths.
CALL_PATH = '/-/rpc'
CHECK_IN_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.deregister'
WRITE_PATH = '/-/rows-tx'
READ_PATH = '/-/rows-get'
FEED_PATH = '/-/rows-feed'
