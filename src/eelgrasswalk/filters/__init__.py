"""The filters that a request passes through, in order."""
