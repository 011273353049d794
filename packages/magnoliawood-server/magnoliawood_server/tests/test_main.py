import pytest

from magnoliawood_server import main
from magnoliawood_server.runtime import settings

VALID_SETTINGS = {
    'name': 'entry-1',
    'data_centre': 'dc-1',
    'platform': '127.0.0.1:9000',
    'peer_listen': '127.0.0.1:9001',
    'http_listen': '127.0.0.1:9002',
    'peer_secret': 'a-secret-of-the-test',
}


def test_valid_settings_are_accepted():
    loaded = main.load_settings(settings.EntrySettings, VALID_SETTINGS)
    assert loaded.default_class == 'chat'


def test_flag_wins_over_environment(monkeypatch):
    monkeypatch.setenv('MAGNOLIAWOOD_NAME', 'from-environment')
    monkeypatch.setenv('MAGNOLIAWOOD_DEFAULT_CLASS', 'urgent')
    loaded = main.load_settings(settings.EntrySettings, VALID_SETTINGS)
    assert loaded.name == 'entry-1'
    assert loaded.default_class == 'urgent'


def test_invalid_value_exits_with_one_line_message(capsys):
    with pytest.raises(SystemExit) as caught:
        main.load_settings(
            settings.EntrySettings,
            {**VALID_SETTINGS, 'suspicion_seconds': '-3'},
        )
    assert caught.value.code == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert '--suspicion-seconds' in line
    assert 'MAGNOLIAWOOD_SUSPICION_SECONDS' in line
    assert "'-3'" in line
    assert 'greater than 0' in line


def test_invalid_secret_is_not_printed(capsys):
    bad = {'peer_secret': 'too-short', 'operator_token_hash': 'not-a-hash'}
    with pytest.raises(SystemExit):
        main.load_settings(settings.EntrySettings, {**VALID_SETTINGS, **bad})
    printed = capsys.readouterr().err
    assert '--peer-secret' in printed
    assert '--operator-token-hash' in printed
    assert not any(value in printed for value in bad.values())


def test_missing_setting_is_reported(capsys):
    flags = {
        name: text
        for name, text in VALID_SETTINGS.items()
        if name != 'platform'
    }
    with pytest.raises(SystemExit):
        main.load_settings(settings.EntrySettings, flags)
    assert '--platform' in capsys.readouterr().err
