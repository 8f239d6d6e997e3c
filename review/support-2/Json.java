import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON texts into maps, lists, strings, numbers and booleans. */
final class Json {

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    static String quote(String value) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char character : value.toCharArray()) {
            if (character == '"' || character == '\\') {
                quoted.append('\\');
            }
            quoted.append(character);
        }
        return quoted.append('"').toString();
    }

    private Object value() {
        skipSpace();
        return switch (text.charAt(position)) {
            case '{' -> map();
            case '[' -> list();
            case '"' -> string();
            default -> word();
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            String key = string();
            skipSpace();
            position++;
            map.put(key, value());
            skipSeparator();
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            list.add(value());
            skipSeparator();
        }
        position++;
        return list;
    }

    private void skipSeparator() {
        skipSpace();
        if (text.charAt(position) == ',') {
            position++;
            skipSpace();
        }
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char character = text.charAt(position++);
            if (character == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> string.append('\n');
                    case 't' -> string.append('\t');
                    case 'r' -> string.append('\r');
                    case 'u' -> {
                        string.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> string.append(escaped);
                }
            } else {
                string.append(character);
            }
        }
        position++;
        return string.toString();
    }

    private Object word() {
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
