Feature: A request that may not be repeated runs at most once

  Background:
    Given a group refund-desk of 3 targets in Odori
    And a group refund-desk of 3 targets in Kotoni
    And a group turnstile of 6 targets in Odori
    And a group turnstile of 6 targets in Kotoni
    And a class refund that runs at most once, within 800 ms, over refund-desk
    And a class gate-lookup that must be complete, within 500 ms, over turnstile
    And hosts odori-1 and odori-2 in Odori
    And hosts kotoni-1 in Kotoni
    And all of it runs

  Scenario: A caller asks two hosts at the same moment
    When refund R is asked at odori-1
    And refund R is asked at odori-2
    Then refund R ran once
    And every answer is its caller's own

  Scenario: A caller asks again after the answer
    When refund R is asked at odori-1
    And 2 s pass
    And refund R is asked at odori-2
    Then refund R ran once
    And the caller of refund R is told the answer again

  Scenario: The platform loses the answer to the claim
    When 40 refund queries arrive in 2 s
    And 2 s pass
    And the platform loses the answer to the next write
    And refund R is asked at odori-1
    Then refund R ran once
    And the caller of refund R is told the answer

  Scenario: The answer of the target is lost
    When searcher 0 of refund-desk breaks off once it has run
    And searcher 1 of refund-desk breaks off once it has run
    And searcher 2 of refund-desk breaks off once it has run
    And refund R is asked at odori-1
    And 4 s pass
    And refund R is asked at odori-2
    Then refund R ran once
    And the caller of refund R is told outcome_unknown

  Scenario: A host is killed while its refund runs
    When refund R is asked at odori-1
    And the claim of refund R is written
    And 0.006 s pass
    And host odori-1 is killed
    And refund R is asked at odori-2
    And 4 s pass
    And refund R is asked at odori-2
    Then refund R ran once
    And the caller of refund R is told outcome_unknown

  Scenario: A host is paused once it has claimed, and goes on
    When refund R is asked at odori-1
    And the claim of refund R is written
    And host odori-1 is paused
    And 20 s pass
    And refund R is asked at odori-2
    And 1 s pass
    And host odori-1 goes on
    Then refund R ran never
    And the caller of refund R is told outcome_unknown

  Scenario: Data centres are cut off from each other
    When Odori is cut off from Kotoni
    And refund R is asked at odori-1
    And refund R is asked at kotoni-1
    Then refund R ran once

  Scenario: The platform is down
    When the platform goes down
    And refund R is asked at odori-1
    And 20 gate-lookup queries arrive in 2 s
    Then refund R ran never
    And the caller of refund R is told platform_unavailable
    And nothing that ran is told as not run

  Scenario: The platform is too slow, so that a claim is written late
    When the platform is too slow to answer
    And refund R is asked at odori-1
    And 3 s pass
    And the platform is quick again
    And 10 s pass
    Then refund R ran never
    And the caller of refund R is told platform_unavailable

  Scenario: The platform is put back to an older copy
    When refund A is asked at odori-1
    And 2 s pass
    And the platform is copied
    And refund R is asked at odori-1
    And 40 s pass
    And the platform is put back to the copy
    And refund R is asked at odori-1
    Then refund R ran once

  Scenario: A caller asks again much later
    When refund R is asked at odori-1
    And 400 s pass
    And refund R is asked at odori-2
    Then refund R ran once
    And the caller of refund R is told request_expired
