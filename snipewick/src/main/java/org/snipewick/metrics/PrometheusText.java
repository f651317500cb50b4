package org.snipewick.metrics;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Writer of a metric registry in the Prometheus text format. Converts the tier and the type in the
 * name of a metric into labels.
 */
public final class PrometheusText {
  private static final List<MapperConfig> LABEL_MAPPINGS =
      List.of(
          new MapperConfig("*.tier.*.type.*", "${0}", Map.of("tier", "${1}", "type", "${2}")),
          new MapperConfig(
              "*.*.tier.*.type.*", "${0}.${1}", Map.of("tier", "${2}", "type", "${3}")),
          new MapperConfig("*.tier.*", "${0}", Map.of("tier", "${1}")),
          new MapperConfig("*.*.tier.*", "${0}.${1}", Map.of("tier", "${2}")));

  private final Collector collector;

  private PrometheusText(Collector collector) {
    this.collector = collector;
  }

  /**
   * Returns a writer for a registry.
   *
   * @param registry metrics; {@code .tier.N} or {@code .tier.N.type.T} at the end of a name of one
   *     or two other parts becomes the label {@code tier} or the labels {@code tier} and {@code
   *     type}
   * @return writer
   */
  public static PrometheusText of(MetricRegistry registry) {
    requireNonNull(registry, "registry");
    return new PrometheusText(
        new DropwizardExports(registry, new CustomMappingSampleBuilder(LABEL_MAPPINGS)));
  }

  /**
   * Writes the current values of all metrics.
   *
   * @return text in the Prometheus text format, version 0.0.4
   */
  public String write() {
    try (StringWriter writer = new StringWriter()) {
      TextFormat.write004(writer, Collections.enumeration(collector.collect()));
      return writer.toString();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
