"""Steps that sweep the fault matrix."""

from behave import then, when

from features.proofs import matrix

SWEEPS = {
    'single faults': matrix.list_single_cells,
    'pairs of faults': matrix.list_double_cells,
}


@when('the fault matrix is swept with {kind} from seed {seed:d}')
def sweep_matrix(context, kind, seed):
    cells = SWEEPS[kind]()
    context.outcomes, context.skipped = matrix.sweep(cells, seed)


@then('{ran:d} cells ran and {skipped:d} do not apply, each with a reason')
def check_counts(context, ran, skipped):
    counts = (len(context.outcomes), len(context.skipped))
    assert counts == (ran, skipped), counts
    assert all(cell.find_reason() for cell in context.skipped)


@then('each fault of the matrix struck')
def check_struck(context):
    missed = [
        one for one in context.outcomes if one.struck < len(one.cell.faults)
    ]
    assert not missed, missed[:5]


@then('no checker objects to any cell of the matrix')
def check_cells(context):
    failed = [one for one in context.outcomes if one.found]
    assert not failed, failed[:5]
