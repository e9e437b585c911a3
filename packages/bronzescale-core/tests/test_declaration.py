"""Guard parsing and validation of declarations, and the texts of their errors."""

import copy

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, MatchesStructure

from bronzescale_core.declaration import (
    check_document,
    load_declaration,
    parse_toml,
)
from bronzescale_core.exceptions import InvalidDeclarationError

VALID = """\
schema_version = 1
name = "test"

[[place]]
zone = "a"
region = "north"

[[service]]
name = "records"

[[service.upstream]]
name = "db-1"
address = "10.0.0.1:3306"
zone = "a"

[[service.upstream]]
name = "db-2"
address = "10.0.0.2:3306"
zone = "a"
"""


def render_problems(text):
    try:
        parse_toml(text)
    except InvalidDeclarationError as error:
        return [problem.render() for problem in error.problems]
    return []


class DeclarationTest(TestCase):
    def test_valid_file_is_loaded(self):
        declaration = load_declaration(parse_toml(VALID), 7)
        self.assertThat(
            declaration, MatchesStructure(name=Equals("test"), generation=Equals(7))
        )
        service = declaration.service("records")
        self.assertEqual("db-1", service.initial_primary)
        self.assertEqual("north", service.upstreams[0].region)

    def test_errors_state_line_field_and_remedy(self):
        cases = {
            'zone = "a"\n\n[[service.upstream]]': (
                'zone = "x"\n\n[[service.upstream]]',
                "line 14, service[0].upstream[0].zone: 'x' is not a declared zone; "
                "use a declared zone: a",
            ),
            '"10.0.0.2:3306"': (
                '"db2.example:3306"',
                "line 18, service[0].upstream[1].address: 'db2.example:3306' is not "
                "a valid address; use an IP address and a port, such as 10.0.0.5:3306",
            ),
            "schema_version = 1": (
                "schema_version = 9",
                "line 1, schema_version: 9 is not supported by this release; use one "
                "of 1, 2, or upgrade to a release that supports it",
            ),
            '"db-2"': (
                '"db-1"',
                "line 17, service[0].upstream[1].name: 'db-1' is used more than once; "
                "use unique names",
            ),
        }
        for old, (new, expected) in cases.items():
            self.assertThat(
                render_problems(VALID.replace(old, new)), Contains(expected)
            )

    def test_syntax_error_states_its_line(self):
        found = render_problems(VALID.replace('name = "records"', "name = records"))
        self.assertThat(found[0], Contains("line 9"))

    def test_all_problems_are_reported_together(self):
        text = VALID.replace('"test"', '"Bad Name"').replace('zone = "a"', "zone = 5")
        self.assertThat(len(render_problems(text)) >= 4, Equals(True))

    def test_unknown_fields_are_kept(self):
        document = parse_toml(VALID + "colour = 'green'\n")
        check_document(document)
        self.assertEqual("green", document["service"][0]["upstream"][1]["colour"])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.data())
    def test_arbitrary_value_is_accepted_or_a_declaration_error(self, data):
        """A wrong type or value must raise nothing but InvalidDeclarationError."""
        document = copy.deepcopy(parse_toml(VALID))
        replacement = data.draw(
            st.one_of(st.none(), st.integers(), st.text(), st.lists(st.integers()))
        )
        upstream = document["service"][0]["upstream"][0]
        target, field = data.draw(
            st.sampled_from(
                [
                    (document, "place"),
                    (document, "service"),
                    (document, "name"),
                    (document, "user"),
                    (document["service"][0], "upstream"),
                    (document["service"][0], "schema_versions"),
                    (document["service"][0], "max_queued"),
                    (upstream, "zone"),
                    (upstream, "address"),
                    (upstream, "slots"),
                    (upstream, "name"),
                ]
            )
        )
        target[field] = replacement
        try:
            load_declaration(document, 1)
        except InvalidDeclarationError as error:
            self.assertTrue(error.problems)
