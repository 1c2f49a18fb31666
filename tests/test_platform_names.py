"""Tests that the platform's wire names stay in its adapter."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).parent.parent / 'borageyard'
ADAPTER = PACKAGE / 'platform'
# Stand-ins implement the platform's formats.
ALLOWED_FOLDERS = (ADAPTER, PACKAGE / 'standins')
MAX_ADAPTER_LINES = 1500
HEADERS = (
    'X-Attempt-Id|X-Piece-Key|X-Pieces|X-Server-Stamp|X-Expect-Instance|'
    'X-Not-Executed|X-Instance-Load|X-Token-Count|X-Prefix-Hash|X-Tenant|'
    'X-Deadline-Ms|X-Inputs|X-Request-Priority'
)
NAMES = re.compile(
    f'(?i:{HEADERS})|'
    r'stage-run|stage-free|kv-events|log-append|log-read|log-newest|'
    r'keyed\.(op|servers|status)|weightedBackends|pathPrefix|apiKeys|'
    'nodeName|internalPorts|headroomMb|handleS|coldLeftMs|ttlS|BORAGEYARD_BOOT',
)


def sources(within):
    """Returns the source files below a folder, sorted."""
    return sorted(within.rglob('*.py'))


class TestNames:
    """Only the adapter uses platform names; other code uses the product's."""

    def test_none_outside_the_adapter(self):
        """No code or comment elsewhere contains a wire name."""
        found = {
            str(path.relative_to(PACKAGE)): match.group()
            for path in sources(PACKAGE)
            if not any(folder in path.parents for folder in ALLOWED_FOLDERS)
            for match in NAMES.finditer(path.read_text(encoding='utf-8'))
        }
        assert not found

    def test_adapter_stays_small(self):
        """The adapter only translates and makes no decisions."""
        lines = [
            len(path.read_text(encoding='utf-8').splitlines())
            for path in sources(ADAPTER)
        ]
        assert sum(lines) < MAX_ADAPTER_LINES
