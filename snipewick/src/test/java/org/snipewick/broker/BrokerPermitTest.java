package org.snipewick.broker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.placement.EndpointPermits;

class BrokerPermitTest {
  private static final EndpointId LIMITED = EndpointId.of("e0");
  private static final int SLOTS = 7;
  private static final double WORK_MILLIS = 600;
  private static final Duration LOAD_TIME = Duration.ofSeconds(4);

  /** Guards against requests without a permit by a broker that does not know the limit yet. */
  @ParameterizedTest
  @ValueSource(ints = {59, 340})
  void shouldSendNothingWithoutPermitWhenOnlyRequestersKnowLimit(int instances) {
    BrokerFleet fleet = new BrokerFleet(BrokerFleet.Mode.BROKERS, instances, 1);
    fleet.addEndpoints(66, SLOTS, 1);
    fleet.processes.forEach(
        (instance, process) -> process.local.pool(BrokerFleet.POOL).setPermits(new NoPermits()));
    for (int domain = 0; domain < BrokerFleet.DOMAINS; domain++) {
      InstanceId broker = fleet.brokerOf(domain);
      fleet
          .processes
          .get(broker)
          .local
          .pool(BrokerFleet.POOL)
          .setPermits(EndpointPermits.UNLIMITED);
    }
    fleet.load(LOAD_TIME, 0.6 * 66 * SLOTS * 1000 / WORK_MILLIS, WORK_MILLIS, 1);
    fleet.timer.advance(LOAD_TIME.plusSeconds(8));
    long sent =
        fleet.requests.stream()
            .filter(request -> LIMITED.equals(request.endpoint))
            .filter(request -> !isBroker(fleet, request.process.member.instance()))
            .count();
    assertThat(sent).isZero();
    assertThat(fleet.requests).allMatch(BrokerFleet.Request::isDecided);
    assertThat(fleet.worthServed()).isGreaterThan(0.95);
  }

  private static boolean isBroker(BrokerFleet fleet, InstanceId instance) {
    for (int domain = 0; domain < BrokerFleet.DOMAINS; domain++) {
      if (fleet.brokerOf(domain).equals(instance)) {
        return true;
      }
    }
    return false;
  }

  /** Permits of an instance that knows the limit of one endpoint and has no permit for it. */
  private static final class NoPermits implements EndpointPermits {
    @Override
    public OptionalDouble requestsPerSecond(EndpointId endpoint) {
      return endpoint.equals(LIMITED) ? OptionalDouble.of(0) : OptionalDouble.empty();
    }

    @Override
    public boolean isAvailable(EndpointId endpoint, long nowNanos) {
      return !endpoint.equals(LIMITED);
    }

    @Override
    public void use(EndpointId endpoint, long nowNanos) {}

    @Override
    public long expectedWaitNanos(EndpointId endpoint, long nowNanos) {
      return endpoint.equals(LIMITED) ? Long.MAX_VALUE / 2 : 0;
    }
  }
}
