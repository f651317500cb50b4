package org.snipewick.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Result of parsing an operator's edits.
 *
 * @param edits edits that could be parsed
 * @param faults descriptions of the others, each with the position of its edit; empty if all edits
 *     could be parsed
 */
public record ParsedEdits(List<Edit> edits, List<String> faults) {

  /** Copies the lists. */
  public ParsedEdits {
    edits = List.copyOf(edits);
    faults = List.copyOf(faults);
  }

  /**
   * Parses edits.
   *
   * @param json JSON array of edits; null or another type is reported as a fault
   * @return parsed edits and faults
   */
  public static ParsedEdits of(JsonNode json) {
    if (json == null || !json.isArray()) {
      return new ParsedEdits(List.of(), List.of("edits must be an array"));
    }
    List<Edit> edits = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (int i = 0; i < json.size(); i++) {
      try {
        edits.add(CatalogueJson.readEditStrictly(json.get(i)));
      } catch (JsonProcessingException fault) {
        faults.add("edits[" + i + "]" + describe(fault));
      }
    }
    return new ParsedEdits(edits, faults);
  }

  private static String describe(JsonProcessingException fault) {
    StringBuilder text = new StringBuilder();
    if (fault instanceof JsonMappingException mapping) {
      mapping.getPath().forEach(part -> text.append('.').append(part.getFieldName()));
    }
    Throwable cause = fault.getCause() == null ? fault : fault.getCause();
    String message =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : cause.getMessage();
    return text.append(": ").append(message).toString();
  }
}
