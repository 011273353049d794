import dataclasses

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories


# Guards against dropping an upstream that has started again with its id, at
# another address, because its old address responded as another upstream.
def test_drop_of_a_former_address_keeps_the_new_one():
    directory = directories.UpstreamDirectory(clocks.ManualClock())
    former = directories.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    restarted = dataclasses.replace(former, address='10.0.0.2:80')
    directory.replace([former], 10, None)
    directory.apply([directories.UpstreamChange('i-1', restarted)], 11, None)
    directory.drop(former)
    assert directory.usable('llm') == [restarted]
    directory.drop(restarted)
    assert directory.usable('llm') == []
