"""Mutation tests: breaks one mechanism at a time; some test must fail.

Run it with ``python -m tests.mutations``; it is not a part of CI.
"""

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
COPIED = ('borageyard', 'tests', 'examples', 'docs', 'pyproject.toml')
TIMEOUT_S = 300


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A source change and the tests that must fail because of it."""

    name: str
    module: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTATIONS = (
    Mutation(
        'the last claim wins',
        'claims.py',
        'return min(live, key=_order_of, default=None)',
        'return max(live, key=_order_of, default=None)',
        ('tests/test_claims.py', 'tests/test_claim_gate.py'),
    ),
    Mutation(
        'voids are ignored',
        'claims.py',
        'if claim.attempt_id not in self.voided',
        'if claim.attempt_id',
        ('tests/test_claims.py', 'tests/test_claim_gate.py'),
    ),
    Mutation(
        'keys do not expire',
        'claim_gate.py',
        '    if kind is not None:\n        raise RefusalError(Refusal(kind))',
        '    if kind is None:\n        return',
        ('tests/test_claims.py', 'tests/test_claim_gate.py'),
    ),
    Mutation(
        'a call that may have run is repeated',
        'dispatch.py',
        'if not stage_request.idempotent and not error.not_run:',
        'if not stage_request.idempotent and error.not_run:',
        ('tests/test_faults.py',),
    ),
    Mutation(
        'an answer to another attempt is taken',
        'http_target.py',
        'if attempt_id != call.attempt_id:',
        'if not attempt_id:',
        ('tests/test_http_target.py', 'tests/test_entry.py'),
    ),
    Mutation(
        'a gap in a stream is relayed',
        'http_target.py',
        'if event.offset != expected:',
        'if event.offset < 0:',
        ('tests/test_http_target.py', 'tests/test_token_relay.py'),
    ),
    Mutation(
        'a change with a stale base wins',
        'configuration_log.py',
        'if record.base_version == self.version:',
        'if record.base_version <= self.version:',
        ('tests/test_configuration_sync.py', 'tests/test_replay.py'),
    ),
    Mutation(
        'work is admitted without a permission',
        'permission.py',
        'if self.remaining_ms() > 0:',
        'if self.remaining_ms() > -1e12:',
        ('tests/test_permission_rules.py', 'tests/test_permission.py'),
    ),
    Mutation(
        'leaving targets get new work',
        'targets.py',
        'return [state for state in listed if not state.leaving]',
        'return list(listed)',
        ('tests/test_policy_faults.py', 'tests/test_routing.py'),
    ),
    Mutation(
        'crashing requests are not quarantined',
        'quarantine.py',
        'crashes = CRASHES_TO_QUARANTINE if recorded and isolated else 1',
        'crashes = 1',
        ('tests/test_policy_decisions.py', 'tests/test_replay.py'),
    ),
    Mutation(
        'a stopping entry does not say that it leaves',
        'core.py',
        'self.local_state.leaving = True',
        'self.local_state.leaving = False',
        ('tests/test_draining.py',),
    ),
    Mutation(
        'an empty list empties the fleet',
        'targets.py',
        '        if not rows:\n            return\n',
        '',
        ('tests/test_routing.py', 'tests/test_membership.py'),
    ),
)


def is_caught(mutation):
    """Returns whether the tests fail with a mutation applied.

    Raises:
        LookupError: If the module doesn't contain the text to replace.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        module = copy / 'borageyard' / mutation.module
        text = module.read_text(encoding='utf-8')
        if mutation.old not in text:
            raise LookupError(mutation.name)
        module.write_text(text.replace(mutation.old, mutation.new, 1))
        ended = subprocess.run(
            [sys.executable, '-m', 'pytest', '-x', '-q', *mutation.tests],
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': folder},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    return ended.returncode == 1


def main():
    """Runs all mutations; returns 1 if any was not caught, else 0."""
    missed = 0
    for mutation in MUTATIONS:
        caught = is_caught(mutation)
        missed += not caught
        verdict = 'caught' if caught else 'MISSED'
        sys.stdout.write(f'{verdict}: {mutation.name}\n')
        sys.stdout.flush()
    return int(missed > 0)


if __name__ == '__main__':
    sys.exit(main())
