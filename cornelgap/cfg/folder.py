"""Load a folder of INI files, merged in the order of their names.

Teams layer a shared base with local overrides: of two files that set one
option, the later name wins.  Loading goes on past every fault and remembers
for each value which file and line won and which it overrode.
"""

from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError

from cornelgap.cfg.findings import MAX_NEAREST, CfgFinding, find_nearest
from cornelgap.cfg.linking import link_sections
from cornelgap.cfg.models import SECTIONS
from cornelgap.cfg.scanner import scan_text
from cornelgap.core.errors import Code

_SUFFIX = '*.ini'


@dataclass(slots=True)
class Origin:
    """Where a value comes from.

    :param winner: the setting in force.
    :param overridden: settings that it overrode, nearest first.
    """

    winner: object
    overridden: list = field(default_factory=list)


@dataclass(slots=True)
class Meta:
    """Where everything in a loaded folder comes from.

    :param origins: :class:`Origin` by (section, option).
    :param headers: (file, line) of the first header by section.
    :param files: names of the files read, in their order.
    """

    origins: dict = field(default_factory=dict)
    headers: dict = field(default_factory=dict)
    files: list = field(default_factory=list)


def load_folder(path):
    """Load, merge and validate a configuration folder.

    :param path: the folder.
    :return: the Cfg with revision 0, or None if anything is wrong; the
        findings, see :class:`cornelgap.cfg.findings.CfgFinding`; and the
        :class:`Meta`.
    """
    texts, findings = _read_files(Path(path))
    meta, found = merge_texts(texts)
    findings += found
    models = _validate_sections(meta, findings)
    cfg, found = link_sections(models, meta)
    findings += found
    findings.sort(key=lambda finding: (finding.file, finding.line))
    return (None if findings else cfg), findings, meta


def merge_texts(texts):
    """Merge files' texts; the later of two settings of an option wins.

    :param texts: (file name, text) in the order of merging.
    :return: the :class:`Meta` and findings.
    """
    meta = Meta()
    findings = []
    for file, text in texts:
        meta.files.append(file)
        settings, headers, found = scan_text(file, text)
        findings += found
        for section, line in headers.items():
            meta.headers.setdefault(section, (file, line))
        for setting in settings:
            _merge_setting(meta.origins, setting)
    return meta, findings


def _merge_setting(origins, setting):
    key = (setting.section, setting.option)
    origin = origins.get(key)
    if origin is None:
        origins[key] = Origin(setting)
        return
    origin.overridden.insert(0, origin.winner)
    origin.winner = setting


def _read_files(path):
    texts = []
    findings = []
    files = sorted(path.glob(_SUFFIX))
    if not path.is_dir():
        findings.append(
            CfgFinding(Code.CFG_UNREADABLE, f'{path} is not a folder')
        )
    elif not files:
        findings.append(
            CfgFinding(
                Code.CFG_EMPTY,
                f'{path} holds no configuration',
                expected='at least one *.ini file',
            )
        )
    for file in files:
        try:
            texts.append((file.name, file.read_text('utf-8-sig')))
        except (OSError, UnicodeDecodeError) as exc:
            findings.append(
                CfgFinding(
                    Code.CFG_UNREADABLE,
                    f'cannot be read: {type(exc).__name__}',
                    file.name,
                    1,
                    expected='a readable file in UTF-8',
                )
            )
    return texts, findings


def _validate_sections(meta, findings):
    """Build the model of every section that is right in itself."""
    options = {section: {} for section in meta.headers}
    for (section, option), origin in meta.origins.items():
        options[section][option] = origin.winner.value
    models = {}
    for section, values in options.items():
        kind, _, name = section.partition(' ')
        model = SECTIONS.get(kind)
        if model is None or not name:
            findings.append(_report_section(meta, section))
            continue
        if 'name' in values:
            findings.append(
                _report_option(meta, findings, section, 'name', {}, model)
            )
            continue
        try:
            models[section] = model(name=name, **values)
        except ValidationError as exc:
            findings += [
                _report_option(
                    meta, findings, section, str(fault['loc'][0]), fault, model
                )
                for fault in exc.errors(include_url=False)
            ]
    return models


def _report_section(meta, section):
    file, line = meta.headers[section]
    kind = section.partition(' ')[0]
    return CfgFinding(
        Code.CFG_UNKNOWN_SECTION,
        'no such section',
        file,
        line,
        section,
        expected=' or '.join(f'[{known} NAME]' for known in SECTIONS),
        nearest=find_nearest(kind, SECTIONS),
    )


def _report_option(meta, findings, section, option, fault, model):
    """Turn the model's complaint about one option into a finding."""
    origin = meta.origins.get((section, option))
    file, line = meta.headers[section]
    if origin is not None:
        file, line = origin.winner.file, origin.winner.line
    known = [name for name in model.model_fields if name != 'name']
    kind = fault.get('type', 'extra_forbidden')
    if kind == 'extra_forbidden':
        nearest = ''
        if len(findings) < MAX_NEAREST:
            nearest = find_nearest(option, known)
        return CfgFinding(
            Code.CFG_UNKNOWN_OPTION,
            'no such option',
            file,
            line,
            section,
            option,
            f'one of {", ".join(known)}',
            nearest,
        )
    if kind == 'missing':
        return CfgFinding(
            Code.CFG_MISSING_OPTION,
            'the option is missing',
            file,
            line,
            section,
            option,
            'a value',
        )
    # The value itself stays out of the text: it may be a key's secret.
    return CfgFinding(
        Code.CFG_BAD_VALUE,
        'the value is not allowed',
        file,
        line,
        section,
        option,
        _phrase_expected(fault['msg']),
    )


def _phrase_expected(text):
    for prefix in ('Value error, ', 'Input should be '):
        text = text.removeprefix(prefix)
    return text
