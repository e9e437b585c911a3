"""Parameters of prepared statements are escaped, so that they cannot inject SQL."""

from datetime import datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from bronzescale_proxy.placeholders import fill_placeholders, split_placeholders
from bronzescale_standins.engine import Tables, TableSession


class PlaceholderTest(TestCase):
    def fill(self, sql, *values):
        return fill_placeholders(split_placeholders(sql), list(values))

    def test_question_marks_in_quotes_and_comments_are_no_placeholders(self):
        sql = "SELECT '?', \"?\", `?`, ? /* ? */ -- ?"
        self.assertEqual("SELECT '?', \"?\", `?`, 7 /* ? */ -- ?", self.fill(sql, 7))

    def test_literals(self):
        cases = {
            None: "NULL",
            True: "TRUE",
            -3: "-3",
            "it's": "'it''s'",
            "a\\": "'a\\\\'",
            b"\x00\xff": "X'00ff'",
            datetime(2026, 12, 4, 1, 2, 3): "'2026-12-04 01:02:03'",
            timedelta(hours=-26): "'-26:00:00.000000'",
        }
        for value, literal in cases.items():
            self.assertThat(self.fill("?", value), Equals(literal))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(alphabet=st.characters(exclude_characters="\0"), max_size=40))
    def test_any_text_survives_a_round_trip(self, text):
        session = TableSession(Tables())
        cursor = session.execute(self.fill("SELECT ?, '?'", text))
        self.assertEqual((text, "?"), cursor.fetchone())
