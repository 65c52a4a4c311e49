// A line is read in two steps. nlohmann's SAX parser fills a flat list of raw
// fields, which costs no tree and, after the first lines, hardly any memory;
// then visit_fields() of the event's kind takes from the list what it needs.
// Both are linear in the line; the list holds the dozen fields of a line, so
// looking one up is a short scan.

#include "event_reader.hpp"

#include "event_fields.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace fennelladder::history {

namespace {

constexpr std::size_t max_fields = 64;

// Fills the list of raw fields from the members of the outermost object.
class field_collector final : public nlohmann::json_sax<nlohmann::json>
{
public:
    field_collector(std::vector<raw_field>& fields, std::size_t& count)
        : fields_(fields), count_(count)
    {}

    const std::string& fault() const { return fault_; }

    bool null() override { return put(raw_field::kind::other, 0); }

    bool boolean(bool value) override
    {
        return put(raw_field::kind::boolean, value ? 1 : 0);
    }

    bool number_integer(number_integer_t value) override
    {
        (void)value; // The parser calls this for numbers below 0 only.
        return put(raw_field::kind::negative, 0);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return put(raw_field::kind::number, value);
    }

    bool number_float(number_float_t, const string_t&) override
    {
        return put(raw_field::kind::fraction, 0);
    }

    bool string(string_t& value) override
    {
        if (depth_ == 1)
            fields_[count_ - 1].text.swap(value);
        return put(raw_field::kind::text, 0);
    }

    bool binary(binary_t&) override { return false; }

    bool start_object(std::size_t) override { return open(); }

    bool end_object() override { return close(); }

    bool start_array(std::size_t) override { return open(); }

    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        if (depth_ != 1)
            return true;
        if (count_ == max_fields) {
            fault_ = "more than 64 fields";
            return false;
        }
        if (count_ == fields_.size())
            fields_.emplace_back();
        fields_[count_].name.swap(name);
        ++count_;
        return true;
    }

    bool parse_error(std::size_t position, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        fault_ = "not JSON at byte " + std::to_string(position);
        return false;
    }

private:
    bool put(raw_field::kind type, std::uint64_t number)
    {
        if (depth_ == 0) {
            fault_ = "not a JSON object";
            return false;
        }
        if (depth_ == 1) {
            fields_[count_ - 1].type = type;
            fields_[count_ - 1].number = number;
        }
        return true;
    }

    bool open()
    {
        const bool outermost = depth_ == 0;
        if (!outermost && !put(raw_field::kind::other, 0))
            return false;
        ++depth_;
        return true;
    }

    bool close()
    {
        --depth_;
        return true;
    }

    std::vector<raw_field>& fields_;
    std::size_t& count_;
    std::size_t depth_ = 0;
    std::string fault_;
};

// Moves raw fields into an event's members and names what does not fit.
class field_taker
{
public:
    field_taker(std::vector<raw_field>& fields, std::size_t count)
        : fields_(fields), count_(count)
    {}

    const std::string& faults() const { return faults_; }

    void add_fault(std::string_view name, std::string_view what)
    {
        if (!faults_.empty())
            faults_ += "; ";
        faults_ += '\'';
        faults_ += name;
        faults_ += "' ";
        faults_ += what;
    }

    template <class Value>
    void operator()(std::string_view name, Value& value)
    {
        if (raw_field* it = find(name))
            take(*it, value);
    }

private:
    using kind = raw_field::kind;

    raw_field* find(std::string_view name)
    {
        raw_field* found = nullptr;
        for (std::size_t n = 0; n < count_; ++n) {
            if (fields_[n].name != name)
                continue;
            if (found != nullptr) {
                add_fault(name, "is given twice");
                return nullptr;
            }
            found = &fields_[n];
        }
        if (found == nullptr)
            add_fault(name, "is missing");
        return found;
    }

    template <class Tag>
    void take(raw_field& field, text_id<Tag>& id)
    {
        std::string text;
        take(field, text);
        id = text_id<Tag>(std::move(text));
    }

    template <class Tag>
    void take(raw_field& field, number_id<Tag>& id)
    {
        std::uint64_t value = 0;
        take(field, value);
        id = number_id<Tag>(value);
    }

    void take(raw_field& field, std::string& text)
    {
        if (field.type != kind::text)
            add_fault(field.name, "is not text");
        else if (field.text.empty())
            add_fault(field.name, "is empty");
        else
            text = field.text;
    }

    void take(raw_field& field, std::uint64_t& value)
    {
        // Sums of counts stay far below what 64 bits hold.
        constexpr std::uint64_t largest = std::uint64_t{1} << 62U;
        if (field.type == kind::negative)
            add_fault(field.name, "is negative");
        else if (field.type != kind::number)
            add_fault(field.name, "is not a whole number");
        else if (field.number > largest)
            add_fault(field.name, "is too large");
        else
            value = field.number;
    }

    void take(raw_field& field, tokens& value)
    {
        std::uint64_t count = 0;
        take(field, count);
        value = tokens(static_cast<std::int64_t>(count));
    }

    void take(raw_field& field, instant& value)
    {
        std::uint64_t count = 0;
        take(field, count);
        value = from_nanoseconds(static_cast<std::int64_t>(count));
    }

    void take(raw_field& field, bool& value)
    {
        if (field.type != kind::boolean)
            add_fault(field.name, "is not true or false");
        else
            value = field.number != 0;
    }

    std::vector<raw_field>& fields_;
    std::size_t count_;
    std::string faults_;
};

// An empty body of the kind that `name` names.
template <std::size_t Index = 0>
std::optional<event_body> make_body(std::string_view name)
{
    if constexpr (Index == std::variant_size_v<event_body>) {
        return std::nullopt;
    } else {
        event_body body(std::in_place_index<Index>);
        if (event_name(body) == name)
            return body;
        return make_body<Index + 1>(name);
    }
}

} // namespace

result<event> event_reader::read(std::string_view line)
{
    count_ = 0;
    field_collector collect(fields_, count_);
    if (!nlohmann::json::sax_parse(line.begin(), line.end(), &collect))
        return fail(error_code::invalid, collect.fault());
    event found;
    field_taker take(fields_, count_);
    take("t", found.at);
    take("node", found.node);
    std::string name;
    take("event", name);
    if (!name.empty()) {
        if (auto body = make_body(name)) {
            found.body = std::move(*body);
            std::visit([&take](auto& it) { visit_fields(it, take); },
                       found.body);
        } else {
            take.add_fault(name, "is no event");
        }
    }
    if (!take.faults().empty())
        return fail(error_code::invalid, take.faults());
    return found;
}

result<event> parse_event(std::string_view line)
{
    return event_reader().read(line);
}

} // namespace fennelladder::history
