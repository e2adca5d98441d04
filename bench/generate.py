"""Write the generated codec modules from proto/ into cornelgap/wire/.

The results are committed, so that neither build nor tests need this.
"""

import re
import sys
from pathlib import Path

from grpc_tools import protoc

_ROOT = Path(__file__).resolve().parent.parent
_OUT = _ROOT / 'cornelgap' / 'wire'


def main():
    """Generate every module and make its imports absolute."""
    for source in sorted((_ROOT / 'proto').glob('*.proto')):
        args = [f'-I{source.parent}', f'--python_out={_OUT}', source.name]
        if 'service ' in source.read_text():
            args.insert(1, f'--grpc_python_out={_OUT}')
        if protoc.main(['protoc', *args]):
            sys.exit(f'cannot generate {source.name}')
    for path in _OUT.glob('*_pb2_grpc.py'):
        text = re.sub(
            r'^import (\w+_pb2)',
            r'from cornelgap.wire import \1',
            path.read_text(),
            flags=re.MULTILINE,
        )
        path.write_text(text)


if __name__ == '__main__':
    main()
