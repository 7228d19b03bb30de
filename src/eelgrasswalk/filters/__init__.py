"""Filters that handle a call at the caller's and the upstream's node.

The two node programs have different call paths:

- eelgrasswalk-node: `entry`, the checks of the filter chain and `dispatch` at
  the caller's node; `guard` and `delivery` at the upstream's node.
- eelgrasswalk-sidecar: `front` and `forward` at the caller's node; `gate` at
  the upstream's node.

Both use `admit` and `transmit`.
"""
