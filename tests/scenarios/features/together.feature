Feature: Failures come together

  Background:
    Given a group turnstile of 8 targets in Odori
    And a group refund-desk of 2 targets in Odori
    And a class gate-lookup that may be partial, within 500 ms, over turnstile
    And a class refund that runs at most once, within 800 ms, over refund-desk
    And hosts odori-1, odori-2 and odori-3 in Odori
    And all of it runs

  Scenario Outline: <one>, and <other>
    When 9 gate-lookup queries are under way
    And refund R is asked at odori-1
    And <one>
    And <other>
    And 60 gate-lookup queries arrive in 2 s
    And refund R is asked at odori-2
    And operator ana labels turnstile tier=gold
    And 20 s pass
    And host odori-1 goes on
    And refund R is asked at odori-3
    Then every request has one reply, in time
    And every answer comes from one snapshot
    And every answer says truly what it covers
    And every answer is its caller's own
    And nothing that ran is told as not run
    And refund R ran at most once
    And no host has reverted

    Examples:
      | one                                                   | other                                                 |
      | searcher 0 of turnstile is lost                       | searcher 4 of turnstile is lost                       |
      | searcher 0 of turnstile is lost                       | the platform goes down                                |
      | searcher 1 of turnstile freezes                       | turnstile loads snapshot 2 in 3 shards                |
      | searcher 1 of turnstile gives each caller the answer before | the platform goes down                          |
      | turnstile loads snapshot 2 in 3 shards                | turnstile drops snapshot 1                            |
      | searcher 0 of refund-desk breaks off once it has run  | searcher 1 of refund-desk breaks off once it has run  |
      | the platform loses the answer to the next write       | the platform loses the answer to the next write       |
      | the platform is too slow to answer                    | host odori-1 is paused                                |
      | host odori-1 is paused                                | searcher 0 of refund-desk is lost                     |
      | host odori-1 is killed                                | the platform loses the answer to the next write       |
      | odori-1 is cut off from the platform                  | odori-2 is cut off from Odori                         |
      | odori-1 is cut off from odori-2                       | searcher 2 of turnstile begins to leave               |

  Scenario Outline: Failures come one upon the other, drawn from <seed>
    When 40 failures come in an order drawn from <seed>
    Then every request has one reply, in time
    And every answer comes from one snapshot
    And every answer says truly what it covers
    And every answer is its caller's own
    And nothing that ran is told as not run
    And no request that may not be repeated ran twice
    And no host has reverted

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
