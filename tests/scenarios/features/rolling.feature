Feature: What rolls through all targets cuts nothing and mixes nothing

  Background:
    Given a group socios-web of 20 targets in Quilicura
    And a class gate-lookup that must be complete, within 500 ms, over socios-web
    And hosts quilicura-1 and quilicura-2 in Quilicura
    And all of it runs

  Scenario: Every target drains and restarts in its turn
    When the targets of socios-web restart in turn, each after a drain of 4 s, under 10 gate-lookup queries a second
    Then every answer is complete
    And every answer comes from one snapshot
    And no searcher of socios-web gets new work after 3 s of its drain

  Scenario: The index changes target by target
    When the targets of socios-web change in turn to snapshot 2 in 10 shards, each 1 s, under 20 gate-lookup queries a second
    Then every answer is complete
    And every answer comes from one snapshot

  Scenario: Data is partitioned anew target by target
    When the targets of socios-web change in turn to snapshot 2 in 4 shards, each 1 s, under 20 gate-lookup queries a second
    Then every answer is complete
    And every answer comes from one snapshot
