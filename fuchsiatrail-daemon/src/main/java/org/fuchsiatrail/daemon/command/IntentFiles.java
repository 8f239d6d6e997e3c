package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/** Reads intents and plans from YAML files, with messages that name the line at fault. */
final class IntentFiles {

    private static final ObjectMapper YAML = new YAMLMapper(new YAMLFactory());

    private IntentFiles() {}

    static <T> T read(Path file, Class<T> type) throws IOException {
        try {
            return YAML.readValue(Files.readAllBytes(file), type);
        } catch (JsonProcessingException e) {
            throw new IOException(describe(file, e), e);
        } catch (IOException e) {
            throw new IOException(file + " cannot be read.\nCheck the path and its permissions.", e);
        }
    }

    private static String describe(Path file, JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
        String path = e instanceof JsonMappingException mapping
                ? mapping.getPath().stream()
                        .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : step.getFieldName())
                        .collect(Collectors.joining("."))
                : "the file";
        return file + ", line " + line + ", " + path + ": " + e.getOriginalMessage()
                + "\nNothing was changed. Correct the line; see examples/ for complete intents.";
    }
}
