Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a group socios-web of 8 targets in Quilicura
    And a group socios-web of 8 targets in Maipú
    And a group lotes-remate of 4 targets in Quilicura
    And a group lotes-remate of 4 targets in Maipú
    And a class price-check that may be partial, within 800 ms, over socios-web
    And hosts quilicura-1, quilicura-2, quilicura-3 and quilicura-4 in Quilicura
    And hosts maipu-1 and maipu-2 in Maipú
    And all of it runs

  Scenario: A change takes hold within seconds
    When 20 price-check queries arrive in 1 s
    And operator ana labels lotes-remate kind=socios-web
    And 3 s pass
    And 20 price-check queries arrive in 1 s
    Then operator ana is told revision 2
    And revision 2 is in force on every host
    And the last answer covers socios-web and lotes-remate

  Scenario: Some hosts are cut off from the platform
    When quilicura-1 is cut off from the platform
    And quilicura-2 is cut off from the platform
    And quilicura-3 is cut off from the platform
    And maipu-1 is cut off from the platform
    And operator ana labels socios-web tier=gold
    And 5 s pass
    Then revision 2 is in force on every host

  Scenario: Both hosts that watch the platform are cut off from it
    When the watchers of Quilicura are cut off from the platform
    And operator ana labels socios-web tier=gold
    And 10 s pass
    Then revision 2 is in force on every host

  Scenario: The platform is down for long
    When the platform goes down
    And operator ana labels socios-web tier=gold
    And 120 s pass
    And 40 price-check queries arrive in 2 s
    Then every answer is complete
    And operator ana is told platform_unavailable
    And revision 1 is in force on every host

  Scenario: A change follows a long outage
    When the platform goes down
    And 60 s pass
    And the platform is up again
    And operator ana labels socios-web tier=gold
    And 10 s pass
    Then revision 2 is in force on every host

  Scenario: A host starts while the platform is down
    When operator ana labels socios-web tier=gold
    And 3 s pass
    And the platform goes down
    And host quilicura-5 starts in Quilicura
    And 5 s pass
    And 20 price-check queries arrive in 1 s
    Then every answer is complete
    And revision 2 is in force on every host

  Scenario: A data centre is cut off and comes back
    When Maipú is cut off from the platform
    And Maipú is cut off from Quilicura
    And operator ana labels socios-web tier=gold
    And 30 s pass
    And 40 price-check queries arrive in 2 s
    Then revision 1 is still in force in Maipú
    And revision 2 is still in force in Quilicura
    And every answer is complete

  Scenario: A data centre comes back
    When Maipú is cut off from the platform
    And Maipú is cut off from Quilicura
    And operator ana labels socios-web tier=gold
    And 30 s pass
    And Maipú reaches the platform again
    And 10 s pass
    Then revision 2 is in force on every host

  Scenario: A paused host goes on with an old revision
    When host quilicura-1 is paused
    And operator ana labels socios-web tier=gold
    And 60 s pass
    And host quilicura-1 goes on
    And 5 s pass
    Then revision 2 is in force on every host

  Scenario: The platform is put back to an older copy
    When the platform is copied
    And operator ana labels socios-web tier=gold
    And 3 s pass
    And the platform is put back to the copy
    And 90 s pass
    Then revision 2 is in force on every host
    And some host reports platform_older

  Scenario: Changes are made to an older copy
    When the platform is copied
    And operator ana labels socios-web tier=gold
    And 3 s pass
    And the platform is put back to the copy
    And operator ben labels socios-web zone=north
    And operator cal labels socios-web zone=south
    And 90 s pass
    Then revision 2 is in force on every host
    And some host reports platform_forked

  Scenario: Two operators change the same label at the same moment
    When operator ana labels socios-web tier=gold just before ben does
    And operator ben labels socios-web tier=iron
    And 3 s pass
    Then operator ana is told revision 2
    And operator ben is told conflict
    And operator ben is shown what ana has changed
    And revision 2 is in force on every host

  Scenario: Two operators change different labels at the same moment
    When operator ana labels socios-web tier=gold just before ben does
    And operator ben labels socios-web zone=north
    And 3 s pass
    Then operator ana is told revision 2
    And operator ben is told revision 3
    And revision 3 is in force on every host

  Scenario: The platform loses the answer to an operator's change
    When the platform loses the answer to the next write
    And operator ana labels socios-web tier=gold
    And 3 s pass
    Then operator ana is told revision 2
    And revision 2 is in force on every host
