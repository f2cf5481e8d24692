#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr const char* program = "target/gentianhill-edge";
constexpr int log_mode = 0644;
constexpr int not_started = 127;
constexpr unsigned first_inherited = 3;

} // namespace

edge_process::edge_process(std::string name, std::string zone, surroundings around)
    : name_(std::move(name)), zone_(std::move(zone)), around_(std::move(around)) {}

edge_process::~edge_process() {
    kill_now();
}

void edge_process::start() {
    const std::string settings_path = around_.folder + "/" + name_ + ".settings";
    std::ofstream settings(settings_path);
    settings << "name = " << name_ << "\nzone = " << zone_ << "\nclient-listen = 127.0.0.1:" << client_port_
             << "\nadmin-listen = 127.0.0.1:" << admin_port_ << "\npeer-listen = 127.0.0.1:" << peer_port_
             << "\nseed-port = " << peer_port_ << "\nseeds = \nstore = 127.0.0.1:" << around_.store_port
             << "\npromotion-service = 127.0.0.1:" << around_.promotion_port
             << "\ngrace-s = 6\nturn-spacing-ms = \nconfiguration-limit-ms = 3000\nsilence-limit-ms = 4000"
             << "\nquota-window-s = \nquota-over = \nquota-slack = \nmemory-limit-mb = 260"
             << "\ndescriptor-limit = 4300\n";
    settings.close();
    const std::string log = around_.folder + "/" + name_ + ".log";
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ != 0) {
        return;
    }
    // The process ends with the one that has started it, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(not_started);
    }
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    close_range(first_inherited, ~0U, 0);
    setenv("GENTIANHILL_CONFIG", settings_path.c_str(), 1);
    execl(program, program, static_cast<char*>(nullptr));
    _exit(not_started);
}

void edge_process::kill_now() {
    if (process_ > 0) {
        kill(process_, SIGCONT);
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        process_ = 0;
    }
}

void edge_process::signal(int number) const {
    kill(process_, number);
}

bool edge_process::is_running() {
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = 0;
    }
    return process_ > 0;
}

client::client(event_poll& loop, recorder& record, std::string name, std::uint16_t port,
               const std::string& database)
    : loop_(loop),
      record_(record),
      name_(std::move(name)),
      socket_(std::make_shared<channel>(loop, connect_to_loopback(port))) {
    socket_->on_input = [this] {
        std::string& input = socket_->input;
        for (std::size_t end = input.find("\r\n"); end != std::string::npos; end = input.find("\r\n")) {
            const std::string line = input.substr(0, end);
            input.erase(0, end + 2);
            record_.line("client " + name_ + " gets " + line);
            complete_ = line.rfind("READY", 0) == 0;
            received_ += complete_ ? "" : line + "\n";
        }
    };
    socket_->on_end = [this] { record_.line("client " + name_ + ": its connection has ended"); };
    record_.line("client " + name_ + " sends STARTUP " + database);
    socket_->send("STARTUP " + database + " " + name_ + "\r\n");
    loop_.run_until([this] { return complete_ || !socket_->is_open(); }, milliseconds(2000));
}

void client::send(const std::string& text) {
    complete_ = false;
    received_.clear();
    last_id_ = name_ + "-" + std::to_string(++sent_);
    record_.line("client " + name_ + " sends QUERY " + last_id_ + " " + text);
    socket_->send("QUERY " + last_id_ + " " + text + "\r\n");
}

bool client::has_answer() const {
    return complete_;
}

std::string client::answer() const {
    return complete_ ? received_ : "";
}

std::string client::ask(const std::string& text, milliseconds limit) {
    send(text);
    loop_.run_until([this] { return complete_ || !socket_->is_open(); }, limit);
    return answer();
}

void client::leave() {
    record_.line("client " + name_ + " leaves");
    socket_->close(false);
}

std::string fetch(event_poll& loop, std::uint16_t port, const std::string& path) {
    channel socket(loop, connect_to_loopback(port));
    socket.on_input = [] {};
    socket.send("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
    loop.run_until([&socket] { return !socket.is_open(); }, milliseconds(1000));
    return socket.input;
}

double metric(const std::string& text, const std::string& name) {
    const std::size_t found = text.find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::strtod(text.c_str() + found + name.size() + 2, nullptr);
}

bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

} // namespace review
