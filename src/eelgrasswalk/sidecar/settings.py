"""Settings of a sidecar node."""

import dataclasses
import math

from .. import address

# Descriptors without a setting; the usual limit of a process.
MAX_FDS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operators require the whole system to keep.

    Args:
        drain_s: Seconds after an acknowledged drain during which calls may
            still reach the target.
        grace_s: Seconds from the termination signal until the process is
            killed.
        apply_s: Seconds within which a new configuration takes effect.
        withdraw_s: Seconds within which a withdrawn key stops working.
        retry_ratio: Maximum retries per call of a service, summed over all
            nodes.
        retry_window_s: Seconds over which retries are counted.
        retry_slack: Retries in each window allowed beyond the ratio, summed
            over all nodes.
        quota_window_s: Seconds over which the calls of an account are
            counted.
        quota_overage: Excess over its rate that an account may get, as a
            fraction of the rate.
        quota_slack: Calls in each window allowed beyond the rate and the
            overage.
        evacuate_s: Seconds within which the evacuation of a data centre is
            in force; infinite if there is no such limit.
        cold_overage: Factor by which the rate that a cold target tolerates
            may be exceeded; None for no limit on cold targets.
        cold_slack: Calls to a cold target allowed beyond that in each
            one-second window.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    apply_s: float = 2.0
    withdraw_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 20.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    evacuate_s: float = math.inf
    cold_overage: float | None = None
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """All settings of a sidecar node.

    Args:
        node_id: Unique id of the node.
        ip: IP address of the host.
        data_centre: Name of the node's data centre.
        service: Service that the target serves.
        target: Address where the target accepts HTTP requests.
        callers: Listen address for calls from callers and from the target.
        readiness: Listen address for the platform's readiness probes.
        check_ins: Listen address for the target's check-ins.
        links: Listen address for links from other nodes.
        admin: Listen address for metrics.
        store: Address of the platform's row store.
        memory_bytes: Memory limit of the process, in bytes.
        bounds: Limits that the operators require the whole system to keep.
        max_fds: Descriptors that the process may have open.
        bootstrap: Whether the whole mesh starts for the first time.
        region: Region of the node, for the log; empty when not told.
        regions: Region of each data centre.
    """

    node_id: str
    ip: str
    data_centre: str
    service: str
    target: address.Address
    callers: address.Address
    readiness: address.Address
    check_ins: address.Address
    links: address.Address
    admin: address.Address
    store: address.Address
    memory_bytes: int
    bounds: Bounds
    max_fds: int = MAX_FDS
    bootstrap: bool = False
    region: str = ''
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
