"""Load that targets report, as operators see it at a real node."""

import unittest.mock

from eelgrasswalk.standins import app
from tests.integration import sidecars


class LoadedStandin(app.AppStandin):
    """Reports its load in each answer.

    Attributes:
        load: What it reports.
    """

    load = b'1,0,4,150'

    def _render_notice(self) -> tuple[tuple[bytes, bytes], ...]:
        return (*super()._render_notice(), (b'server-load', self.load))


class LoadReportTest(sidecars.SidecarTestCase):
    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(
            sidecars.app, 'AppStandin', LoadedStandin
        ):
            await super().asyncSetUp()
        await self.start_all()

    async def read_metrics(self, load: bytes) -> str:
        """Return the metrics of the target's node after a call."""
        front, back = self.nodes
        assert isinstance(back.app, LoadedStandin)
        back.app.load = load
        self.assertTrue(await self.is_served(front, 'back'))
        page = await self.ask(back.ports[4], '/metrics')
        assert page is not None
        return page.body.decode()

    async def test_metrics_show_the_report(self) -> None:
        wanted = (
            '\neelgrasswalk_target_report_age_seconds ',
            '\neelgrasswalk_target_reported_running 1.0\n',
            '\neelgrasswalk_target_reported_waiting 2.0\n',
            '\neelgrasswalk_target_reported_slowdown 1.5\n',
            '\neelgrasswalk_target_expected_wait_seconds 0.0\n',
        )

        async def is_shown() -> bool:
            # On a busy machine a report may be old before the page is read.
            page = await self.read_metrics(b'1,2,4,150')
            return all(line in page for line in wanted)

        await self.wait_for(is_shown)

    async def test_no_wait_is_shown_without_a_slowdown(self) -> None:
        """It would suggest that calls are placed by it."""
        page = await self.read_metrics(b'1,2,4')
        self.assertNotIn('expected_wait_seconds', page)

    async def test_metrics_count_malformed_reports(self) -> None:
        page = await self.read_metrics(b'many')
        self.assertIn(
            '\neelgrasswalk_load_reports_ignored_total'
            '{cause="malformed"} 1.0\n',
            page,
        )
        lines = [
            line for line in self.nodes[1].read_log() if line['event'] == 4020
        ]
        self.assertEqual(['malformed'], [line['cause'] for line in lines])
