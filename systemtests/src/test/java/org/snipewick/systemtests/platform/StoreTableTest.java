package org.snipewick.systemtests.platform;

import org.junit.jupiter.api.AfterEach;
import org.snipewick.store.Table;
import org.snipewick.store.TableContract;

/** Tests the table against its contract. */
final class StoreTableTest extends TableContract {
  private final PlatformFixture fixture = PlatformFixture.start(settings -> settings);

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Override
  protected Table table() {
    return fixture.platform().table();
  }

  @Override
  protected void failCalls() {
    fixture.setFaults("{\"outage\":true}");
  }

  @Override
  protected void loseResponses() {
    fixture.setFaults("{\"loseAnswers\":true}");
  }

  @Override
  protected void heal() {
    fixture.setFaults("{}");
  }
}
