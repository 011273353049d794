import pytest

from magnoliawood_server import main
from magnoliawood_server.runtime import settings

GOOD = {
    'name': 'entry-1',
    'data_centre': 'dc-1',
    'platform': '127.0.0.1:9000',
    'peer_listen': '127.0.0.1:9001',
    'http_listen': '127.0.0.1:9002',
    'peer_secret': 'a-secret-of-the-test',
}


def test_good_settings_are_accepted():
    loaded = main.load_settings(settings.EntrySettings, GOOD)
    assert loaded.default_class == 'chat'


def test_flag_wins_over_environment(monkeypatch):
    monkeypatch.setenv('MAGNOLIAWOOD_NAME', 'from-environment')
    monkeypatch.setenv('MAGNOLIAWOOD_DEFAULT_CLASS', 'urgent')
    loaded = main.load_settings(settings.EntrySettings, GOOD)
    assert loaded.name == 'entry-1'
    assert loaded.default_class == 'urgent'


def test_bad_value_ends_the_start_with_one_clear_line(capsys):
    with pytest.raises(SystemExit) as caught:
        main.load_settings(
            settings.EntrySettings, {**GOOD, 'suspicion_seconds': '-3'}
        )
    assert caught.value.code == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert '--suspicion-seconds' in line
    assert 'MAGNOLIAWOOD_SUSPICION_SECONDS' in line
    assert "'-3'" in line
    assert 'greater than 0' in line


def test_bad_secret_is_not_printed(capsys):
    bad = {'peer_secret': 'too-short', 'operator_token_hash': 'not-a-hash'}
    with pytest.raises(SystemExit):
        main.load_settings(settings.EntrySettings, {**GOOD, **bad})
    printed = capsys.readouterr().err
    assert '--peer-secret' in printed
    assert '--operator-token-hash' in printed
    assert not any(value in printed for value in bad.values())


def test_missing_value_is_named(capsys):
    flags = {name: text for name, text in GOOD.items() if name != 'platform'}
    with pytest.raises(SystemExit):
        main.load_settings(settings.EntrySettings, flags)
    assert '--platform' in capsys.readouterr().err
