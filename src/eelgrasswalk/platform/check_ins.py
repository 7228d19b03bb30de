"""Decodes what targets tell the node beside them."""

import json
import typing
import urllib.parse

from .. import ports
from .. import verdict
from ..policy.capacity import cold_start
from ..transport import message
from . import names

_STATES = frozenset(('ready', 'draining'))
_MAX_ID_BYTES = 200
_MS_PER_S = 1000.0
# Larger ones can't be told apart as floats.
_MAX_NUMBER = 2**53
_ACKNOWLEDGEMENT = verdict.Response(
    200, ((b'content-type', b'application/json'),), b'{}'
)


class PlatformCheckIns:
    """Implements ports.CheckInFormat."""

    def decode(
        self, request: message.Request
    ) -> ports.CheckIn | ports.Departure | ports.Unreadable:
        """Return what a request says."""
        path, _, query = request.target.partition('?')
        if path != names.CALL_PATH:
            return ports.Unreadable(f'no such path: {path}')
        arguments = urllib.parse.parse_qs(query)
        call = arguments.get('call', [''])[0]
        target_id = arguments.get('of', [''])[0]
        if not 0 < len(target_id) <= _MAX_ID_BYTES:
            return ports.Unreadable('the id of the target is missing')
        if call == names.LEAVE_CALL:
            return ports.Departure(target_id)
        if call != names.CHECK_IN_CALL:
            return ports.Unreadable(f'no such call: {call}')
        try:
            return _decode_check_in(target_id, json.loads(request.body))
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            RecursionError,
        ) as error:
            return ports.Unreadable(f'not a check-in: {error!r}')

    def acknowledge(self) -> verdict.Response:
        """Return the answer that acknowledges a check-in."""
        return _ACKNOWLEDGEMENT


def _decode_check_in(
    target_id: str, fields: dict[str, typing.Any]
) -> ports.CheckIn:
    state = fields['state']
    if state not in _STATES:
        raise ValueError(f'unknown state {state!r}')
    return ports.CheckIn(
        target_id=target_id,
        born_ms=int(_take_number(fields.get('born', 0))),
        sequence=int(_take_number(fields['sequence'])),
        service=_take_text(fields['service']),
        slots=max(1, int(_take_number(fields['slots']))),
        draining=state == 'draining',
        cold_s=_take_cold_s(fields.get('cold_left_ms', 0)),
    )


def _take_cold_s(value: typing.Any) -> float | None:
    """Return the seconds; None for a malformed value, which is ignored."""
    try:
        cold_s = _take_number(0 if value is None else value) / _MS_PER_S
    except ValueError:
        return None
    return cold_s if cold_s <= cold_start.MAX_COLD_S else None


def _take_number(value: typing.Any) -> float:
    if type(value) not in (int, float) or not 0 <= value < _MAX_NUMBER:
        raise ValueError(f'not a number from 0 to {_MAX_NUMBER}: {value!r}')
    return float(value)


def _take_text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'not a text: {value!r}')
    return value
