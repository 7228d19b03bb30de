"""Names of the platform's headers, fields and tables."""

# Headers, in lower case.
REQUEST_ID = b'attempt-id'
DEADLINE = b'request-deadline'
STAMP = b'response-stamp'
ACCOUNT = b'tenant-id'
TARGET_ID = b'target-instance'
LOAD = b'server-load'
NOT_RUN = b'not-executed'
RETRY_AFTER = b'retry-after'
CALLER_SERVICE = b'caller-service'
AUTHORIZATION = b'authorization'
BEARER = b'bearer '

# Tables and rows.
OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'

# Paths.
READINESS_PATH = '/-/readiness'
CALL_PATH = '/-/rpc'
CHECK_IN_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.deregister'
WRITE_PATH = '/-/rows-tx'
READ_PATH = '/-/rows-get'
FEED_PATH = '/-/rows-feed'
