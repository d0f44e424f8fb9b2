Feature: A target that is leaving gets no new work after a few seconds

  Background:
    Given a group socios-web of 20 targets in Quilicura
    And a class gate-lookup that must be complete, within 500 ms, over socios-web
    And hosts quilicura-1 and quilicura-2 in Quilicura
    And all of it runs

  Scenario: Its own answers say so while its reports lag
    When searcher 7 of socios-web reports 20 s late
    And 20 gate-lookup queries arrive in 1 s
    And searcher 7 of socios-web begins to leave
    And 200 gate-lookup queries arrive in 15 s
    Then searcher 7 of socios-web gets no new work after 3 s
    And every answer is complete

  Scenario: Its health reports say so when nobody asks it
    When 20 gate-lookup queries arrive in 1 s
    And searcher 7 of socios-web begins to leave
    And 3 s pass
    And 100 gate-lookup queries arrive in 8 s
    Then searcher 7 of socios-web gets no new work after 3 s
    And every answer is complete

  Scenario: The host list alone says so
    When 20 gate-lookup queries arrive in 1 s
    And searcher 7 of socios-web is listed as leaving
    And 100 gate-lookup queries arrive in 8 s
    Then searcher 7 of socios-web gets no new work after 3 s
    And every answer is complete

  Scenario: An operator says so
    When 20 gate-lookup queries arrive in 1 s
    And searcher 7 of socios-web is marked as leaving
    And 100 gate-lookup queries arrive in 8 s
    Then searcher 7 of socios-web gets no new work after 3 s
    And every answer is complete
