"""Gauges and counters of a sidecar node, for its metrics page."""

import time

from .. import clock
from .. import metrics_page
from ..filters import load_observer
from . import wiring
from . import wiring_control


def read_gauges(
    control_plane: wiring_control.ControlPlane,
    call_path: wiring.CallPath | None,
) -> metrics_page.Gauges:
    """Return the text and the value of each gauge, by name.

    Args:
        control_plane: Components that follow the rules and the other nodes.
        call_path: Components that calls pass through; None before they are
            built.
    """
    gauges: metrics_page.Gauges = {
        'eelgrasswalk_rules_age_seconds': (
            'Seconds since the rules were the newest for certain',
            control_plane.fresh.get_age(clock.read_boot_time()),
        ),
        'eelgrasswalk_nodes': (
            'Nodes that this node knows',
            len(control_plane.roster.roster),
        ),
        'eelgrasswalk_usable_targets': (
            'Targets that calls may be sent to',
            sum(
                entry.is_usable
                for entry in control_plane.roster.roster.list_entries()
            ),
        ),
        'eelgrasswalk_body_bytes': (
            'Bytes of bodies held',
            control_plane.bodies.used,
        ),
        'eelgrasswalk_client_bytes': (
            'Bytes that clients make the node hold',
            control_plane.clients.used,
        ),
        'eelgrasswalk_client_connections': (
            'Connections of clients that are open',
            control_plane.clients.connections,
        ),
        'eelgrasswalk_quarantined_requests': (
            'Requests that are refused as they crash their targets',
            sum(
                not record.lifted
                for record in control_plane.confined.list_records()
            ),
        ),
    }
    gauges['eelgrasswalk_evacuated_data_centres'] = (
        'Data centres that calls are not sent to',
        len(control_plane.evacuations.evacuated),
    )
    if call_path is not None:
        policy = call_path.admitter.policy
        gauges |= {
            'eelgrasswalk_peer_call_bytes': (
                'Bytes that calls of other nodes make the node hold',
                call_path.peer_calls.memory.used,
            ),
            'eelgrasswalk_target_running': (
                'Calls that the target runs',
                policy.in_flight,
            ),
            'eelgrasswalk_target_queued': (
                'Calls that wait for the target',
                policy.queued,
            ),
            'eelgrasswalk_target_limit': (
                'Calls that the target may run at a time',
                policy.limit,
            ),
            'eelgrasswalk_target_cold': (
                'Whether the target is or may be cold',
                call_path.gate.coldness.is_cold,
            ),
            'eelgrasswalk_links_dialled': (
                'Links to other nodes that are open',
                call_path.dialler.count_links(),
            ),
        }
        loads = call_path.gate.loads
        gauges |= _read_load_gauges(loads)
        if loads.find_slowdown() is not None:
            gauges['eelgrasswalk_target_expected_wait_seconds'] = (
                'Time until a call offered now is expected to start',
                policy.estimate_start(time.monotonic()),
            )
    return gauges


def read_counters(
    control_plane: wiring_control.ControlPlane,
    call_path: wiring.CallPath | None,
) -> metrics_page.Gauges:
    """Return the text and the value of each counter, by name.

    Args:
        control_plane: As above.
        call_path: As above.
    """
    clients = control_plane.clients
    counters: metrics_page.Gauges = {
        'eelgrasswalk_client_connections_shed': (
            'Connections closed for what they made the node hold',
            clients.shed,
        ),
        'eelgrasswalk_client_connections_refused': (
            'New connections refused as clients held too much',
            clients.refused,
        ),
        'eelgrasswalk_client_requests_refused': (
            'Requests refused as clients held too much',
            clients.refused_requests,
        ),
    }
    if call_path is None:
        return counters
    coldness = call_path.gate.coldness
    return counters | {
        'eelgrasswalk_peer_calls_refused': (
            'Calls of other nodes refused as they held too much',
            call_path.peer_calls.refused,
        ),
        'eelgrasswalk_cold_refusals': (
            'Calls refused because the target is or may be cold',
            coldness.refused,
        ),
        'eelgrasswalk_cold_malformed': (
            'Malformed values of coldness from the target',
            coldness.malformed,
        ),
    }


def _read_load_gauges(
    loads: load_observer.LoadObserver,
) -> metrics_page.Gauges:
    """Return what the target reports; nothing but its age once it is old."""
    gauges: metrics_page.Gauges = {}
    age_s = loads.measure_age()
    if age_s is not None:
        gauges['eelgrasswalk_target_report_age_seconds'] = (
            'Seconds since the newest load report of the target',
            age_s,
        )
    known = loads.find()
    if known is not None:
        report = known.report
        gauges |= {
            'eelgrasswalk_target_reported_running': (
                'Calls that the target reports as running',
                report.running,
            ),
            'eelgrasswalk_target_reported_waiting': (
                'Calls that the target reports as waiting',
                report.waiting,
            ),
            'eelgrasswalk_target_reported_slowdown': (
                'Time that work takes on the host of the target, 1 as usual',
                report.slowdown,
            ),
        }
    return gauges
