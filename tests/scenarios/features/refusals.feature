Feature: What is told as not run has not run

  Background:
    Given a group refund-desk of 6 targets in Odori
    And a class gate-lookup that must be complete, within 500 ms, over refund-desk
    And hosts odori-1 and odori-2 in Odori
    And all of it runs

  Scenario: More queries come than the targets can take
    When 600 gate-lookup queries are under way
    And 600 gate-lookup queries arrive in 1 s
    Then every request has one reply, in time
    And some requests are told as not run
    And the tier adds at most 10 percent of load

  Scenario: A host is cut off from its targets
    When 8 gate-lookup queries are under way
    And odori-1 is cut off from Odori
    And 40 gate-lookup queries arrive in 4 s
    Then every request has one reply, in time
    And nothing that ran is told as not run

  Scenario: Targets freeze with work in their queues
    When searcher 0 of refund-desk freezes
    And searcher 3 of refund-desk freezes
    And 40 gate-lookup queries arrive in 4 s
    And searcher 0 of refund-desk goes on
    And searcher 3 of refund-desk goes on
    Then every request has one reply, in time
    And nothing that ran is told as not run
