package org.snipewick.standins.platform;

import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.Responses;

/** Serves the calls of the store that read, write, delete and list objects. */
final class ObjectCalls {
  private static final String WEIGHTS_PREFIX = "weights/";
  private static final int MAX_OBJECT_BYTES = 8_388_608;
  private static final int MAX_LISTED_NAMES = 1_000;

  private final TreeMap<String, byte[]> objects = new TreeMap<>();
  private boolean areWeightsRestricted;

  /**
   * Replaces all weights by empty objects of these names. Before the first call, each list of a
   * prefix of weights returns that prefix, as if the weights existed.
   */
  void setWeights(String[] names) {
    areWeightsRestricted = true;
    objects.keySet().removeIf(name -> name.startsWith(WEIGHTS_PREFIX));
    for (String name : names) {
      objects.put(WEIGHTS_PREFIX + name, new byte[0]);
    }
  }

  /** Returns the response to a call on objects, or empty for other calls. */
  Optional<HttpResponse> serve(Call call) {
    if (call.path().equals("/blob-list") && call.method() == HttpMethod.GET) {
      return Optional.of(list(call));
    }
    if (call.method() == HttpMethod.GET) {
      return call.pathAfter("/blob-get/").map(this::get);
    }
    if (call.method() == HttpMethod.DELETE) {
      return call.pathAfter("/blob-drop/").map(this::delete);
    }
    return call.pathAfter("/blob-put/").map(name -> put(call, name));
  }

  private HttpResponse get(String name) {
    byte[] content = objects.get(name);
    return content == null
        ? Responses.error(404, "no such object")
        : HttpResponse.ok200().withBody(content);
  }

  private HttpResponse put(Call call, String name) {
    if (call.body().length > MAX_OBJECT_BYTES) {
      return Responses.error(413, "object is too large");
    }
    if (call.header("If-None-Match").isPresent() && objects.containsKey(name)) {
      return Responses.error(412, "object exists");
    }
    objects.put(name, call.body());
    return Responses.json(200, Map.of());
  }

  private HttpResponse delete(String name) {
    objects.remove(name);
    return Responses.json(200, Map.of());
  }

  private HttpResponse list(Call call) {
    String prefix = call.query("prefix").orElse("");
    if (prefix.startsWith(WEIGHTS_PREFIX) && !areWeightsRestricted) {
      return Responses.json(200, Map.of("names", List.of(prefix), "truncated", false));
    }
    String after = call.query("after").orElse("");
    List<String> names =
        objects.tailMap(prefix, true).keySet().stream()
            .takeWhile(name -> name.startsWith(prefix))
            .filter(name -> name.compareTo(after) > 0)
            .toList();
    boolean isTruncated = names.size() > MAX_LISTED_NAMES;
    return Responses.json(
        200,
        Map.of(
            "names",
            isTruncated ? names.subList(0, MAX_LISTED_NAMES) : names,
            "truncated",
            isTruncated));
  }
}
