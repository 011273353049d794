import datetime

from magnoliawood.config import change as changes


def change(version):
    at = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    return changes.Change(
        version=version, at=at, by='ops', action='changed', value={}
    )


def test_log_keeps_only_the_newest_changes():
    log = changes.ChangeLog()
    for version in range(1, 2 * changes.CHANGE_LIMIT + 1):
        log = log.append(change(version))
    versions = [item.version for item in log.changes]
    assert len(versions) == changes.CHANGE_LIMIT
    assert versions[-1] == 2 * changes.CHANGE_LIMIT


def test_changes_are_ordered_by_version_not_by_time_of_append():
    log = changes.ChangeLog().append(change(7)).append(change(5))
    assert [item.version for item in log.changes] == [5, 7]
    assert log.find(5) == change(5)
    assert log.find(6) is None
