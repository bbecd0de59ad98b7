"""The request header with the caller's timeout."""

import unittest

from plantainshed_entry.errors import Refusal
from plantainshed_entry.reasons import STATUS
from plantainshed_entry.serving import MAX_TIMEOUT_MS, _parse_timeout_s
from plantainshed_http.messages import RequestHead
from plantainshed_model.document import Pool

POOL = Pool("prenota", "/prenota", slots=4, connections=8, timeout_s=60.0)
INVALID_VALUES = (
    *("", "0", "-1", "+1", "1.5", "1 0", "x", "1\n"),
    *("\xb2", "1\xb2", "\xb9", "\xbd"),
    *(str(MAX_TIMEOUT_MS + 1), "9" * 20, "9" * 5000),
)


def timeout_s(text: str) -> float:
    headers = [(b"request-timeout-ms", text.encode("latin-1"))]
    return _parse_timeout_s(RequestHead("GET", "/prenota/1", headers), POOL)


class TestTimeoutHeader(unittest.TestCase):
    def test_valid_values_are_converted_to_seconds(self):
        for text, seconds in (("1", 0.001), ("0250", 0.25), ("3600000", 60.0)):
            with self.subTest(text=text):
                self.assertEqual(timeout_s(text), seconds)

    def test_invalid_value_is_refused_with_the_name_of_the_header(self):
        for text in INVALID_VALUES:
            with self.subTest(text=text[:30]):
                with self.assertRaises(Refusal) as caught:
                    timeout_s(text)
                self.assertEqual(STATUS[caught.exception.reason], 400)
                self.assertIn("request-timeout-ms", caught.exception.message)
