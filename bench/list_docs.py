"""Write docs/METRICS.md from the code: `python -m bench.list_docs`."""

from pathlib import Path

from cornelgap.entry.metric_list import CATALOGUE
from cornelgap.forwarding import metric_page
from cornelgap.kernel.metrics import format_catalogue

_DOC = Path(__file__).resolve().parent.parent / 'docs' / 'METRICS.md'
_INTRO = """# Metrics of an entry instance

Served at `http://HOST:PORT/metrics` if the setting `metrics` of the section
`[instance]` names an address. `/ready` beside it answers 200 with a few facts
as JSON while the instance has a configuration in force, is not in a planned
stop and its packet actor answers; otherwise 503.

Labels take few values. Beyond 80 label sets of one metric the rest is summed
up under the label value `other`. Counters start at 0 with the process.

This table is written from the code by `python -m bench.list_docs`, and a
scenario checks that it is up to date.

"""

_FORWARDING = """
# Metrics of an instance that forwards flows

Served at `http://HOST:9464/metrics` on the users' platform.

"""


def main():
    """Write the file."""
    _DOC.parent.mkdir(exist_ok=True)
    _DOC.write_text(build_page())


def build_page():
    """Build the page from both catalogues."""
    return (
        _INTRO
        + format_catalogue(CATALOGUE)
        + _FORWARDING
        + format_catalogue(metric_page.CATALOGUE)
    )


if __name__ == '__main__':
    main()
