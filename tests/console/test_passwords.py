"""Tests of password digests and of the bound on attempts."""

import unittest

from eelgrasswalk.console import passwords


class PasswordsTest(unittest.TestCase):
    def test_only_the_password_fits(self) -> None:
        stored = passwords.hash_password('secret')
        self.assertTrue(passwords.verify_password('secret', stored))
        self.assertFalse(passwords.verify_password('Secret', stored))

    def test_digests_are_salted(self) -> None:
        first = passwords.hash_password('secret')
        self.assertNotEqual(first, passwords.hash_password('secret'))

    def test_malformed_digest_fits_nothing(self) -> None:
        for stored in ('', 'a$b', 'plain$YQ==$YQ==', 'scrypt$?$?'):
            self.assertFalse(passwords.verify_password('secret', stored))


class AttemptLimiterTest(unittest.TestCase):
    def test_attempts_come_back_with_time(self) -> None:
        limiter = passwords.AttemptLimiter()
        for _ in range(passwords.MAX_ATTEMPTS):
            self.assertTrue(limiter.admit('ana', 0.0))
        self.assertFalse(limiter.admit('ana', 1.0))
        self.assertTrue(limiter.admit('eva', 1.0))
        self.assertTrue(limiter.admit('ana', passwords.ATTEMPT_WINDOW_S))
