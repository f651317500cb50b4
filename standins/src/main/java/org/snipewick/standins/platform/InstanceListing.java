package org.snipewick.standins.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;
import org.snipewick.standins.platform.PlatformSettings.ListKind;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.LaggedValue;
import org.snipewick.standins.server.Responses;

/** The list of instances, whole or in parts, with entity tags. */
final class InstanceListing {
  private final ListKind kind;
  private final LaggedValue<Map<String, JsonNode>> instances = new LaggedValue<>(Map.of());
  private long bytesServed;

  InstanceListing(ListKind kind) {
    this.kind = kind;
  }

  /** Replaces all instances by an array, or adds or replaces one. */
  void change(JsonNode content, long nowMillis) {
    Map<String, JsonNode> changed =
        new LinkedHashMap<>(content.isArray() ? Map.of() : instances.get());
    for (JsonNode instance : content.isArray() ? content : List.of(content)) {
      changed.put(instance.path("id").asText(), instance);
    }
    instances.set(nowMillis, changed);
  }

  /** Returns the list as it was at a time, or that it is what the caller has. */
  HttpResponse serve(Call call, long timeMillis) {
    Optional<String> ofKind = call.query("kind");
    Optional<String> ofDomain = call.query("domain");
    if (kind == ListKind.STRICT && (ofKind.isPresent() || ofDomain.isPresent())) {
      return Responses.error(404, "unknown path");
    }
    if (kind != ListKind.CONDITIONAL) {
      return whole(timeMillis);
    }
    List<JsonNode> part =
        instances.at(timeMillis).values().stream()
            .filter(instance -> matches(instance, "kind", ofKind))
            .filter(instance -> matches(instance, "domain", ofDomain))
            .toList();
    String tag = entityTag(Responses.toJson(part));
    HttpResponse response =
        call.header("If-None-Match").filter(tag::equals).isPresent()
            ? HttpResponse.ofCode(304)
            : list(part);
    return response.withHeader(HttpHeaders.ETAG, tag);
  }

  /** Counts the bytes of all lists served, without headers. */
  long bytesServed() {
    return bytesServed;
  }

  private HttpResponse whole(long timeMillis) {
    return list(List.copyOf(instances.at(timeMillis).values()));
  }

  private HttpResponse list(List<JsonNode> part) {
    bytesServed += Responses.toJson(part).getBytes(UTF_8).length;
    return Responses.json(200, part);
  }

  private static boolean matches(JsonNode instance, String field, Optional<String> wanted) {
    return wanted.filter(value -> !value.equals(instance.path(field).asText())).isEmpty();
  }

  private static String entityTag(String body) {
    CRC32 checksum = new CRC32();
    checksum.update(body.getBytes(UTF_8));
    return "\"" + Long.toHexString(checksum.getValue()) + "-" + body.length() + "\"";
  }
}
