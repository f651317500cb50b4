package org.snipewick.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.catalogue.Edit;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.pool.WorkEvent;

/** Messages for tests of the peer network. */
public final class TestMessages {
  /** All message types by their names in frames. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("rich", Rich.class, "text", Text.class);

  private TestMessages() {}

  /** Message with components of every type that messages use. */
  public record Rich(
      InstanceId instance,
      RequestId request,
      Optional<TeamName> team,
      Tier tier,
      Duration delay,
      List<Long> hashes,
      Map<PoolName, Integer> counts,
      WorkEvent event,
      Edit edit,
      byte[] body)
      implements PeerMessage {}

  /** Message of one string. */
  public record Text(String text) implements PeerMessage {}
}
