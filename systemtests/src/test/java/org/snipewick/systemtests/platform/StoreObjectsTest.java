package org.snipewick.systemtests.platform;

import org.junit.jupiter.api.AfterEach;
import org.snipewick.store.ObjectStore;
import org.snipewick.store.ObjectStoreContract;

/** Tests the object store against its contract. */
final class StoreObjectsTest extends ObjectStoreContract {
  private final PlatformFixture fixture = PlatformFixture.start(settings -> settings);

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Override
  protected ObjectStore objects() {
    return fixture.platform().objects();
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
