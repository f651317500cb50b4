package org.snipewick.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.Responses;

/**
 * Applies orders that load or unload models, and accepts orders that change the role, which have no
 * effect on the models. Records each of them, also one rejected for its old fencing number.
 */
final class Orders {
  private final boolean checksFencing;
  private final Set<String> models = new TreeSet<>();
  private final List<Received> received = new ArrayList<>();
  private long highestFencing;

  record Order(long fencing, String order, String argument) {}

  record Received(long fencing, String order, String argument, boolean accepted) {}

  Orders(EngineSettings settings) {
    checksFencing = settings.checksFencing();
    models.add(settings.model());
  }

  boolean serves(String model) {
    return models.contains(model);
  }

  List<String> models() {
    return List.copyOf(models);
  }

  List<Received> received() {
    return List.copyOf(received);
  }

  HttpResponse serve(Call call) throws JsonProcessingException {
    Order order = call.json(Order.class);
    boolean accepted = !checksFencing || order.fencing() >= highestFencing;
    if (accepted) {
      apply(order);
    }
    received.add(new Received(order.fencing(), order.order(), order.argument(), accepted));
    return accepted
        ? Responses.json(200, models)
        : Responses.error(409, "old fencing number, newest is " + highestFencing);
  }

  private void apply(Order order) {
    switch (order.order()) {
      case "load" -> models.add(order.argument());
      case "unload" -> models.remove(order.argument());
      case "role" -> {}
      default -> throw new IllegalArgumentException("Unknown order: " + order.order());
    }
    highestFencing = Math.max(highestFencing, order.fencing());
  }
}
