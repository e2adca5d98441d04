"""Steps on entries and answers of other writers."""

from behave import then

from cornelgap.platform.objects import load_registration
from features.proofs import foreign_entries as foreign


@then('a registration with any field nested {depth:d} deep names no target')
def check_deep_fields(context, depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    spec = foreign.make_spec()
    for field in spec:
        item = {
            'meta': {'name': 'i-000000c1', 'revision': 7},
            'spec': {**spec, field: nested},
        }
        found, errors = load_registration(item, 100)
        assert found.target is None and errors
