import unittest

from eelgrasswalk.bench import control
from eelgrasswalk.bench import control_members


def _make_point(kind, nodes, value):
    return control_members.Point(nodes, kind, value, value, value, None)


class TestExtrapolate(unittest.TestCase):
    def test_figure_follows_the_slope(self):
        points = [_make_point('member', n, 5 + n / 100) for n in (100, 300)]
        figure = control.extrapolate(points, 'rss_mb')
        self.assertAlmostEqual(17.0, figure)

    def test_time_to_spread_follows_the_logarithm(self):
        points = [
            control_members.Point(2**power, 'member', 0, 0, 0, power / 10)
            for power in (3, 5)
        ]
        figure = control.extrapolate(points, 'config_in_force_s', nodes=1024)
        self.assertAlmostEqual(1.0, figure)

    def test_one_size_has_no_slope(self):
        points = [_make_point('member', 100, 1.0)]
        self.assertIsNone(control.extrapolate(points, 'rss_mb'))

    def test_figure_that_was_not_measured_is_none(self):
        points = [_make_point('member', n, 1.0) for n in (100, 300)]
        self.assertIsNone(control.extrapolate(points, 'config_in_force_s'))


class TestCombine(unittest.TestCase):
    def test_rest_of_a_node_comes_on_top_of_the_membership(self):
        members = [_make_point('member', n, n / 100) for n in (100, 300)]
        processes = [_make_point('process', 100, 31.0)]
        figures = control.combine(processes, members)
        self.assertAlmostEqual(42.0, figures['rss_mb'])
        self.assertIsNone(figures['config_in_force_s'])


if __name__ == '__main__':
    unittest.main()
