package org.snipewick.platform;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.EraTracker;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.TableRow;
import org.snipewick.store.access.StoreAdapter;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.store.access.StoreSettings;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.HttpTransport;

/** Adapter between the store interface of this system and the users' platform. */
public final class PlatformStoreAdapter implements StoreAdapter {
  /** Name of the table in which endpoints are listed. */
  static final String ENDPOINT_TABLE = "servers";

  /** Limit of the HTTP client for the bodies of responses from the store. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private PlatformStoreAdapter() {}

  /**
   * Returns the adapter.
   *
   * @return adapter to the users' platform
   */
  public static PlatformStoreAdapter of() {
    return new PlatformStoreAdapter();
  }

  @Override
  public StoreCalls connect(StoreSettings settings) {
    Eventloop eventloop = EventloopTimerService.monotonicEventloop();
    eventloop.keepAlive(true);
    Duration timeout = Duration.ofMillis(settings.timeoutMillis());
    StoreClient client =
        StoreClient.of(
            eventloop,
            eventloop,
            HttpTransport.of(eventloop, timeout, MAX_BODY_BYTES),
            new InetSocketAddress(settings.host(), settings.port()),
            timeout,
            EraTracker.of(EventloopTimerService.of(eventloop), EventLog.none()),
            eventloop::breakEventloop);
    Thread thread = new Thread(eventloop, "store");
    thread.setDaemon(true);
    thread.start();
    return client;
  }

  @Override
  public String endpointTable() {
    return ENDPOINT_TABLE;
  }

  @Override
  public ListedInstance decodeEndpoint(TableRow row) throws IOException {
    RegisteredEndpoint endpoint = EndpointCodec.decode(row);
    return new ListedInstance(
        endpoint.id().value(),
        ListedInstance.Kind.ENDPOINT,
        endpoint.domain(),
        endpoint.host(),
        endpoint.port(),
        endpoint.pool().value(),
        endpoint.isLeaving() ? ListedInstance.State.LEAVING : ListedInstance.State.LIVE);
  }

  @Override
  public String entryInstanceTable() {
    return FleetMember.TABLE;
  }

  @Override
  public ListedInstance decodeEntryInstance(TableRow row) throws IOException {
    FleetMember member = FleetMember.decode(row);
    return new ListedInstance(
        member.instance().value(),
        ListedInstance.Kind.ENTRY,
        member.domain(),
        member.address().getHostString(),
        member.address().getPort(),
        "",
        ListedInstance.State.LIVE);
  }
}
