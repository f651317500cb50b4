package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.yaml.snakeyaml.error.MarkedYAMLException;

/** Reads and validates settings files; reports all faults of a file at once. */
public final class SettingsReader {
  private static final String SCHEMA_RESOURCE = "settings.schema.json";
  private static final String HOST_PATTERN_POINTER = "/$defs/host/pattern";

  private final ObjectMapper mapper =
      new ObjectMapper(new YAMLFactory())
          .registerModule(new ParameterNamesModule())
          .registerModule(new Jdk8Module());
  private final Schema schema;

  private SettingsReader(Schema schema) {
    this.schema = schema;
  }

  /**
   * Creates a reader.
   *
   * @return new reader
   * @throws UncheckedIOException if the JSON schema cannot be read
   */
  public static SettingsReader of() {
    try (InputStream stream = SettingsReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      SchemaRegistry registry =
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
      return new SettingsReader(
          registry.getSchema(requireNonNull(stream, SCHEMA_RESOURCE), InputFormat.JSON));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Reads settings from a file.
   *
   * @param file YAML file
   * @return settings, or all faults; a file that cannot be read is a fault
   */
  public SettingsResult read(Path file) {
    requireNonNull(file, "file");
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException failure) {
      return invalid(file.toString(), 0, "cannot be read: " + failure);
    }
  }

  /**
   * Reads settings from text.
   *
   * @param name name of the file in messages
   * @param text YAML text
   * @return settings, or all faults
   */
  public SettingsResult parse(String name, String text) {
    YamlLines lines;
    JsonNode tree;
    try {
      lines = YamlLines.of(text);
      tree = mapper.readTree(text);
    } catch (MarkedYAMLException failure) {
      int line = failure.getProblemMark() == null ? 0 : failure.getProblemMark().getLine() + 1;
      return invalid(name, line, failure.getProblem());
    } catch (JsonProcessingException failure) {
      return invalid(name, failure.getLocation().getLineNr(), failure.getOriginalMessage());
    }
    return validate(name, tree, lines);
  }

  private SettingsResult validate(String name, JsonNode tree, YamlLines lines) {
    List<SettingsFault> faults =
        Stream.of(schemaFaults(tree, lines), lines.duplicateKeys(), domainFaults(tree, lines))
            .flatMap(List::stream)
            .sorted(
                Comparator.comparingInt(SettingsFault::line)
                    .thenComparing(SettingsFault::path)
                    .thenComparing(SettingsFault::message))
            .toList();
    if (!faults.isEmpty()) {
      return new SettingsResult.Invalid(name, faults);
    }
    try {
      return new SettingsResult.Valid(mapper.treeToValue(tree, Settings.class));
    } catch (JsonProcessingException failure) {
      return invalid(name, 0, failure.getOriginalMessage());
    }
  }

  private List<SettingsFault> schemaFaults(JsonNode tree, YamlLines lines) {
    return schema.validate(tree).stream().map(error -> toFault(error, lines)).toList();
  }

  /**
   * Checks that the instance's own failure domain is one of all failure domains, which the schema
   * cannot express.
   */
  private static List<SettingsFault> domainFaults(JsonNode tree, YamlLines lines) {
    String own = tree.path("failureDomain").asText();
    JsonNode all = tree.path("failureDomains");
    if (own.isEmpty() || !all.isArray() || all.isEmpty() || contains(all, own)) {
      return List.of();
    }
    String path = "/failureDomains";
    return List.of(new SettingsFault(lines.lineAt(path), path, "must contain " + own));
  }

  private static boolean contains(JsonNode array, String text) {
    return StreamSupport.stream(array.spliterator(), false)
        .anyMatch(item -> item.asText().equals(text));
  }

  private static SettingsFault toFault(Error error, YamlLines lines) {
    StringBuilder pointer = new StringBuilder();
    for (int index = 0; index < error.getInstanceLocation().getNameCount(); index++) {
      pointer.append('/').append(error.getInstanceLocation().getName(index));
    }
    boolean unknownKey = "additionalProperties".equals(error.getKeyword());
    String path = unknownKey ? pointer + "/" + error.getProperty() : pointer.toString();
    String message = unknownKey ? "unknown key" : messageOf(error);
    return new SettingsFault(lines.lineAt(path), path, message);
  }

  private static String messageOf(Error error) {
    String schemaPath = String.valueOf(error.getSchemaLocation());
    return schemaPath.endsWith(HOST_PATTERN_POINTER) ? "must be an IP address" : error.getMessage();
  }

  private static SettingsResult invalid(String name, int line, String message) {
    return new SettingsResult.Invalid(name, List.of(new SettingsFault(line, "", message)));
  }
}
