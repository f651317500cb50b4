package org.snipewick.systemtests.platform;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.snipewick.store.WeightStore;
import org.snipewick.store.WeightStoreContract;

/** Tests the weight store against its contract. */
final class StoreWeightsTest extends WeightStoreContract {
  private static final double READS_PER_SECOND = 100;
  private static final double LOW_READS_PER_SECOND = 0.01;
  private static final int READS_ABOVE_LOW_RATE = 3;

  private PlatformFixture fixture = PlatformFixture.startWithReadRate(READS_PER_SECOND);

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Override
  protected WeightStore weights() {
    return fixture.platform().weights();
  }

  @Override
  protected void store(List<String> names) {
    fixture.put("/control/weights", names);
  }

  @Override
  protected void failCalls() {
    fixture.setFaults("{\"outage\":true}");
  }

  @Override
  protected void exceedRate() {
    fixture.close();
    fixture = PlatformFixture.startWithReadRate(LOW_READS_PER_SECOND);
    for (int index = 0; index < READS_ABOVE_LOW_RATE; index++) {
      fixture.get("/blob-list?prefix=weights");
    }
  }
}
