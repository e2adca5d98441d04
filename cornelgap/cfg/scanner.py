"""Read one INI file into settings that know their line.

The library's parser does the parsing; this module only feeds it line by
line, so that the line of each option is known, and takes out beforehand
what would make the parser stop at the first fault.
"""

import configparser
import re
from dataclasses import dataclass

from cornelgap.cfg.findings import CfgFinding
from cornelgap.core.errors import Code

_HEADER = re.compile(r'\[(?P<name>[^\]]+)\]\s*$')
_COMMENTS = ('#', ';')
# Options below a broken header must not fall to the section above it.
_LOST_SECTION = '?'


@dataclass(frozen=True, slots=True)
class Setting:
    """One option as one file sets it.

    :param section: section as written, inner white space made single.
    :param option: option name in lower case.
    :param value: value without the white space around it.
    :param file: file name.
    :param line: line in the file, from 1.
    """

    section: str
    option: str
    value: str
    file: str
    line: int


class _LineParser(configparser.RawConfigParser):
    """Parser that notes at which line it meets each option."""

    def __init__(self):
        super().__init__(
            strict=False,
            default_section='',
            delimiters=('=',),
            comment_prefixes=_COMMENTS,
            empty_lines_in_values=False,
        )
        self.line = 0
        self.marks = {}

    def optionxform(self, optionstr):
        """Name each occurrence of an option by its line as well.

        Without the line the parser would keep only the last of two
        settings of one option, and a doubled one would go unnoticed.
        """
        return f'{self.line}:{optionstr.strip().lower()}'


class _Feed:
    """Lines of one file as the parser may see them, and what was taken out."""

    def __init__(self, file, text, parser):
        self.file = file
        self.lines = text.split('\n')
        self.parser = parser
        self.findings = []
        self.headers = {}

    def __iter__(self):
        section = ''
        for number, line in enumerate(self.lines, start=1):
            self.parser.line = number
            if not line.strip() or line.lstrip().startswith(_COMMENTS):
                yield '\n'
                continue
            if line.startswith('['):
                section = self.open_section(line, number)
                yield f'[{section}]\n'
                continue
            yield self.pass_option(line, number, section)

    def open_section(self, line, number):
        """Note a section's header; a broken one opens a nameless section."""
        found = _HEADER.match(line)
        if found is None:
            self.report(number, 'broken section header', '[KIND NAME]')
            return _LOST_SECTION
        section = ' '.join(found['name'].split())
        first = self.headers.setdefault(section, number)
        if first != number:
            self.findings.append(
                CfgFinding(
                    Code.CFG_DUPLICATE,
                    f'section stands at line {first} already',
                    self.file,
                    number,
                    section,
                )
            )
        return section

    def pass_option(self, line, number, section):
        """Pass an option line on, or report it and pass an empty one."""
        if line[0].isspace():
            self.report(number, 'indented line', 'OPTION = VALUE')
        elif not section:
            self.report(number, 'option before any section', '[KIND NAME]')
        elif '=' not in line or line.startswith('='):
            self.report(number, 'not an option', 'OPTION = VALUE')
        else:
            return f'{line}\n'
        return '\n'

    def report(self, number, text, expected):
        """Note a line that the dialect does not allow."""
        self.findings.append(
            CfgFinding(
                Code.CFG_SYNTAX,
                text,
                file=self.file,
                line=number,
                expected=expected,
            )
        )


def scan_text(file, text):
    """Scan one file's text.

    :param file: file name, for findings.
    :param text: its content.
    :return: settings in the order of their lines, header lines by section,
        and findings.
    """
    parser = _LineParser()
    feed = _Feed(file, text, parser)
    parser.read_file(feed, source=file)
    settings = []
    findings = feed.findings
    for section in parser.sections():
        if section == _LOST_SECTION:
            continue
        seen = {}
        for mark, value in parser.items(section):
            line, option = mark.split(':', 1)
            setting = Setting(section, option, value, file, int(line))
            if option in seen:
                findings.append(_report_double(setting, seen[option]))
                continue
            seen[option] = setting.line
            settings.append(setting)
    settings.sort(key=lambda setting: setting.line)
    return settings, feed.headers, findings


def _report_double(setting, first):
    return CfgFinding(
        Code.CFG_DUPLICATE,
        f'option stands at line {first} already',
        setting.file,
        setting.line,
        setting.section,
        setting.option,
    )
